package kvblock

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
)

// queueLength is the capacity of each worker's event queue; further events are dropped.
const queueLength = 4096

// Pool applies events to the index: those of one runner in the order in which they were added, those of different
// runners concurrently.
type Pool struct {
	workers []*worker
	running sync.WaitGroup
	// Dropped counts the events dropped because their worker's queue was full, Applied the events that were applied, and
	// InferredRemovals the blocks removed because of their age or the estimated capacity.
	Dropped, Applied, InferredRemovals atomic.Uint64
}

// worker applies the events of its share of the runners.
type worker struct {
	// events is the queue; nil if events are applied in the caller's goroutine.
	events  chan Event
	mutex   sync.Mutex
	tracker *cacheTracker
}

// NewPool returns a pool with that many workers. With 0 workers, Add applies events synchronously.
func NewPool(index *Index, workers int) *Pool {
	pool := &Pool{}
	for range max(1, workers) {
		pool.workers = append(pool.workers, &worker{tracker: newCacheTracker(index, &pool.InferredRemovals)})
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

// Close stops the workers after they have applied all queued events. Add must not be called after Close.
func (pool *Pool) Close() {
	for _, worker := range pool.workers {
		if worker.events != nil {
			close(worker.events)
		}
	}
	pool.running.Wait()
}

// Add queues an event for its runner's worker, or drops it if the queue is full: the index is only a hint, so callers
// need not wait.
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
