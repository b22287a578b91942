//go:build !race

package simulation

const underRace = false
