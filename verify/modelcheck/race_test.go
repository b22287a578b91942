//go:build race

package modelcheck

// raceShare divides the bounds of states under the race detector, which finds nothing in a search of one thread and
// makes it many times slower; ./check runs the whole search without it.
const raceShare = 40
