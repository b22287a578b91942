package core

import "time"

// The periods, time limits and sizes of the control plane.
const (
	beatEvery     = 200 * time.Millisecond
	claimEvery    = 200 * time.Millisecond
	claimAgain    = 40 * time.Millisecond
	learnEvery    = 300 * time.Millisecond
	learnedEvery  = time.Second
	suspicion     = 700 * time.Millisecond
	sickAfter     = 700 * time.Millisecond
	keeperBound   = 3 * time.Second
	forgetBound   = 5 * time.Minute
	logLimit      = 4 << 20
	sweepEvery    = 5 * time.Second
	frozenAfter   = 500 * time.Millisecond
	maximumCohort = 64

	brokenAfter = 700 * time.Millisecond
	stagger     = 400 * time.Millisecond
	// leastChain is how long a chain may always grow.
	leastChain = 5

	askBound    = 6 * time.Second
	waitBound   = 5 * time.Second
	askAgain    = 300 * time.Millisecond
	maximumAsks = 256
	maximumHops = 3
	// parkBound is for how long a question waits here for the moment at which it can be answered; its asker
	// sends it again meanwhile.
	parkBound = 2 * time.Second
	// Staleness is for how long a data daemon relies on a tick, counted from its question.
	Staleness = time.Second
	// leaseMargin is what the head waits beyond that, for clocks that drift.
	leaseMargin   = 100 * time.Millisecond
	directoryWait = 300 * time.Millisecond
	// startingBound is for how long after its start a machine can't tell daemons yet whether there is a head.
	startingBound = 2 * time.Second
	// callAfter is how long rumors have to bring a change to everybody before the head calls those who lack it.
	callAfter   = 40 * time.Millisecond
	callEvery   = 100 * time.Millisecond
	absentBound = 60 * time.Second
	// MaximumDaemons bounds the daemons one head keeps ticks for.
	MaximumDaemons = 4096
)
