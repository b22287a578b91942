//go:build race

package simulation

// underRace means that the race detector watches. It keeps something for every coroutine that ever was, so
// that a whole set of attempts takes more memory than small machines have; ./check plays them without it too.
const underRace = true
