package kvblock

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
)

// queueLength is the number of events that wait at one worker before further ones are dropped.
const queueLength = 4096

// Pool applies events to the index: those of one runner in the order in which they were added, those of different
// runners concurrently.
type Pool struct {
	workers []*worker
	running sync.WaitGroup
	// Dropped counts the events that found their worker's queue full, Applied those that were applied, and Inferred the
	// blocks that were removed by an estimate.
	Dropped, Applied, Inferred atomic.Uint64
}

// worker applies the events of its share of the runners.
type worker struct {
	// events is nil if events are applied in the caller's goroutine.
	events  chan Event
	mutex   sync.Mutex
	tracker *cacheTracker
}

// NewPool returns a pool; without workers Add applies an event at once.
func NewPool(index *Index, workers int) *Pool {
	pool := &Pool{}
	for range max(1, workers) {
		pool.workers = append(pool.workers, &worker{tracker: newCacheTracker(index, &pool.Inferred)})
	}
	if workers == 0 {
		return pool
	}
	for _, worker := range pool.workers {
		worker.events = make(chan Event, queueLength)
		pool.running.Go(func() {
			for event := range worker.events {
				pool.apply(worker, event)
			}
		})
	}
	return pool
}

// Close ends the workers once they have applied what was added. Add must not be called after it.
func (pool *Pool) Close() {
	for _, worker := range pool.workers {
		if worker.events != nil {
			close(worker.events)
		}
	}
	pool.running.Wait()
}

// Add queues an event at its runner's worker. A full queue drops it, since the index is a hint.
func (pool *Pool) Add(event Event) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(event.runner())) // Writing to a hash can't fail.
	worker := pool.workers[int(hash.Sum32()%uint32(len(pool.workers)))]
	if worker.events == nil {
		pool.apply(worker, event)
		return
	}
	select {
	case worker.events <- event:
	default:
		pool.Dropped.Add(1)
	}
}

func (pool *Pool) apply(worker *worker, event Event) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	pool.Applied.Add(1)
	event.apply(worker.tracker)
}
