//go:build !race

package modelcheck

const raceStateDivisor = 1
