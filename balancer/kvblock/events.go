package kvblock

import "time"

// Event is something that happened, or is inferred to have happened, to a runner's cache.
type Event interface {
	// runner returns the ID of the runner, by which events are sharded and ordered.
	runner() string
	// apply changes what is estimated of the runner's cache.
	apply(tracker *cacheTracker)
}

// BlockStored says that a runner was sent these blocks in this order.
type BlockStored struct {
	Runner string
	Now    time.Time
	Keys   []BlockKey
	// Tokens are the sizes of the blocks, one for each key.
	Tokens []int
}

// BlockRemoved says that a runner does not hold these blocks, as when it rejected the request that had them.
type BlockRemoved struct {
	Runner string
	Keys   []BlockKey
}

// AllBlocksCleared is kept from the source, where it does nothing; here nothing sends it.
type AllBlocksCleared struct{ Runner string }

// ReuseObserved says how late a first token came: as for a prompt whose blocks were cached (Hit), or as without them.
type ReuseObserved struct {
	Runner string
	Keys   []BlockKey
	Hit    bool
}

// RunnerRemoved says that a runner identity no longer exists.
type RunnerRemoved struct{ Runner string }

// IdleBlocksExpired asks for the removal of blocks that were not used for IdleTTL.
type IdleBlocksExpired struct {
	Runner string
	Now    time.Time
}

func (event BlockStored) runner() string       { return event.Runner }
func (event BlockRemoved) runner() string      { return event.Runner }
func (event AllBlocksCleared) runner() string  { return event.Runner }
func (event ReuseObserved) runner() string     { return event.Runner }
func (event RunnerRemoved) runner() string     { return event.Runner }
func (event IdleBlocksExpired) runner() string { return event.Runner }

func (event BlockStored) apply(tracker *cacheTracker) { tracker.store(event) }
func (event BlockRemoved) apply(tracker *cacheTracker) {
	tracker.removeBlocks(event.Runner, event.Keys)
}
func (event AllBlocksCleared) apply(*cacheTracker) {}
func (event ReuseObserved) apply(tracker *cacheTracker) {
	tracker.adjustCapacity(event.Runner, event.Hit)
}
func (event RunnerRemoved) apply(tracker *cacheTracker)     { tracker.removeRunner(event.Runner) }
func (event IdleBlocksExpired) apply(tracker *cacheTracker) { tracker.expire(event.Runner, event.Now) }
