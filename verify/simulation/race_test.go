//go:build race

package simulation

// underRace means that the race detector is on. It keeps memory for every coroutine that ever ran, so that a complete
// set of rule scenarios needs more memory than small machines have; ./check also runs them without it.
const underRace = true
