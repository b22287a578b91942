package simulation

import "time"

const (
	// slowFactor is the factor by which a slow runner takes longer for each token.
	slowFactor = 8
	// lateAnswer is the delay of each answer of a late runner.
	lateAnswer = 400 * time.Millisecond
)

// faultyBehavior describes the faults of a runner; its zero value is a healthy one.
type faultyBehavior struct {
	// With unresponsive it answers nothing, with partial it ends streams in the middle, with rejects it rejects every
	// request, and with fails requests fail after they have started.
	unresponsive, partial, rejects, fails bool
	// corruption, if set, is the way in which it corrupts its events.
	corruption eventCorruption
	// surplus sends an unsolicited second answer after each one.
	surplus bool
	// late is the delay of each answer.
	late time.Duration
	// slow is the factor by which it takes longer for each token; 0 stands for 1.
	slow int
}

// servesRequests reports whether requests can be expected to get their complete answers in time.
func (behavior *faultyBehavior) servesRequests() bool {
	return !behavior.unresponsive && !behavior.partial && !behavior.rejects && !behavior.fails &&
		behavior.corruption == "" && behavior.slow < 2
}

// slowed returns the duration of work that takes a healthy runner the given time.
func (behavior *faultyBehavior) slowed(length time.Duration) time.Duration {
	return length * time.Duration(max(1, behavior.slow))
}

// setSlow switches the runner's slowness by slowFactor on or off.
func (behavior *faultyBehavior) setSlow(on bool) {
	behavior.slow = map[bool]int{true: slowFactor, false: 1}[on]
}

// setLate switches the delay of the runner's answers by lateAnswer on or off.
func (behavior *faultyBehavior) setLate(on bool) {
	behavior.late = map[bool]time.Duration{true: lateAnswer}[on]
}

// eventCorruption is a way in which a runner corrupts the third event of a stream.
type eventCorruption string

// The kinds of corruption.
const (
	skipsEvent      eventCorruption = "skip"
	repeatsEvent    eventCorruption = "repeat"
	countsWrongly   eventCorruption = "false count"
	unknownEvent    eventCorruption = "strange"
	unnumberedEvent eventCorruption = "no number"
)

// eventCorruptions are all kinds, of which one is drawn.
var eventCorruptions = []eventCorruption{skipsEvent, repeatsEvent, countsWrongly, unknownEvent, unnumberedEvent}

// corruptedEvents are the third events, as formats of the run's name.
var corruptedEvents = map[eventCorruption]string{
	skipsEvent:      "id: 4\nevent: token\ndata: {\"run\":%q}\n\n",
	repeatsEvent:    "id: 2\nevent: token\ndata: {\"run\":%q}\n\n",
	countsWrongly:   "id: 3\nevent: done\ndata: {\"run\":%q,\"events\":7}\n\n",
	unknownEvent:    "id: 3\nevent: other\ndata: {\"run\":%q}\n\n",
	unnumberedEvent: "id: x\nevent: token\ndata: {\"run\":%q}\n\n",
}
