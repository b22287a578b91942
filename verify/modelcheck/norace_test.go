//go:build !race

package modelcheck

const raceShare = 1
