//go:build !race

package sim

const underRace = false
