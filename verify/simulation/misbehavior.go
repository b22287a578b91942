package simulation

import "time"

const (
	// slowFactor is by how much longer a slow runner takes for each token.
	slowFactor = 8
	// lateAnswer is how long each answer of a late runner waits.
	lateAnswer = 400 * time.Millisecond
)

// misbehavior is what is wrong with a runner; its zero value is nothing.
type misbehavior struct {
	// unresponsive has it answer nothing, partial break streams off in the middle, rejects put everything back, and fails
	// fail after it began.
	unresponsive, partial, rejects, fails bool
	// garble, where it is set, is the way in which it tells its events wrongly.
	garble garbling
	// surplus has it send another answer behind each one, which nobody asked for.
	surplus bool
	// late is how long each answer waits.
	late time.Duration
	// slow is by how much longer it takes for each token; 0 stands for 1.
	slow int
}

// servesRequests reports whether requests can be expected to get their complete answers in time.
func (misbehavior *misbehavior) servesRequests() bool {
	return !misbehavior.unresponsive && !misbehavior.partial && !misbehavior.rejects && !misbehavior.fails &&
		misbehavior.garble == "" && misbehavior.slow < 2
}

// slowed returns how long the runner takes for what takes a sound one a length of time.
func (misbehavior *misbehavior) slowed(length time.Duration) time.Duration {
	return length * time.Duration(max(1, misbehavior.slow))
}

// setSlow has the runner take far longer for each token, or no longer.
func (misbehavior *misbehavior) setSlow(on bool) {
	misbehavior.slow = map[bool]int{true: slowFactor, false: 1}[on]
}

// setLate has each of the runner's answers wait for a while, or no longer.
func (misbehavior *misbehavior) setLate(on bool) {
	misbehavior.late = map[bool]time.Duration{true: lateAnswer}[on]
}

// garbling is a way in which a runner tells the third event of a stream wrongly.
type garbling string

// These are all ways.
const (
	skipsEvent      garbling = "skip"
	repeatsEvent    garbling = "repeat"
	countsWrongly   garbling = "false count"
	unknownEvent    garbling = "strange"
	unnumberedEvent garbling = "no number"
)

// garblings are all ways, of which one is drawn.
var garblings = []garbling{skipsEvent, repeatsEvent, countsWrongly, unknownEvent, unnumberedEvent}

// garbledEvents are the third events, in which the name of the run is still to be filled in.
var garbledEvents = map[garbling]string{
	skipsEvent:      "id: 4\nevent: token\ndata: {\"run\":%q}\n\n",
	repeatsEvent:    "id: 2\nevent: token\ndata: {\"run\":%q}\n\n",
	countsWrongly:   "id: 3\nevent: done\ndata: {\"run\":%q,\"events\":7}\n\n",
	unknownEvent:    "id: 3\nevent: other\ndata: {\"run\":%q}\n\n",
	unnumberedEvent: "id: x\nevent: token\ndata: {\"run\":%q}\n\n",
}
