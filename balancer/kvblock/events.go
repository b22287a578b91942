package kvblock

import "time"

// Event is an observed or inferred change of a runner's cache.
type Event interface {
	// runner returns the ID of the runner, by which events are sharded and ordered.
	runner() string
	// apply updates the estimated content of the runner's cache.
	apply(tracker *cacheTracker)
}

// BlockStored says that these blocks were sent to a runner in this order at the time Now.
type BlockStored struct {
	Runner string
	Now    time.Time
	Keys   []BlockKey
	// Tokens are the sizes of the blocks, one for each key.
	Tokens []int
}

// BlockRemoved says that a runner does not hold these blocks, for example because it rejected the request with them.
type BlockRemoved struct {
	Runner string
	Keys   []BlockKey
}

// AllBlocksCleared has no effect, as in llm-d-kv-cache. Nothing in this program sends it.
type AllBlocksCleared struct{ Runner string }

// ReuseObserved says whether the time to the first token indicates that the runner had the blocks cached (Hit) or not.
type ReuseObserved struct {
	Runner string
	Keys   []BlockKey
	Hit    bool
}

// RunnerRemoved says that the runner with this ID no longer exists.
type RunnerRemoved struct{ Runner string }

// IdleBlocksExpired requests the removal of the blocks that have not been used for IdleTTL at the time Now.
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
