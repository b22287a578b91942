//go:build race

package modelcheck

// raceStateDivisor divides the maximum number of states under the race detector, which makes a search many times slower
// and can find nothing in its single goroutine; ./check runs the complete search without the detector.
const raceStateDivisor = 40
