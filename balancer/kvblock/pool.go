package kvblock

import (
	"container/list"
	"hash/fnv"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// IdleAge is after how long an unused block is taken to be gone.
	IdleAge = 10 * time.Minute
	// InitialRoom is how many tokens a runner is first taken to keep.
	InitialRoom = 400_000
	leastRoom   = 4_000
	mostRoom    = 50_000_000
	shrink      = 0.8
	grow        = 1.02
	queueLength = 4096
)

// Event is something that happened, or is inferred to have happened, to a runner's cache.
type Event interface{ runner() string }

// BlockStored says that a runner was sent these blocks in this order.
type BlockStored struct {
	Runner string
	Now    time.Time
	Keys   []BlockKey
	Tokens []int
}

// BlockRemoved says that a runner no longer holds these blocks.
type BlockRemoved struct {
	Runner string
	Keys   []BlockKey
}

// AllBlocksCleared is kept from the source, where it does nothing; here nothing sends it.
type AllBlocksCleared struct{ Runner string }

// ReuseSeen tells how a first token came: as for a prompt whose blocks were held, or as if cold.
type ReuseSeen struct {
	Runner string
	Keys   []BlockKey
	Held   bool
}

// RunnerGone says that a runner identity is no more.
type RunnerGone struct{ Runner string }

// Aged asks for the removal of blocks unused for IdleAge.
type Aged struct {
	Runner string
	Now    time.Time
}

func (event BlockStored) runner() string      { return event.Runner }
func (event BlockRemoved) runner() string     { return event.Runner }
func (event AllBlocksCleared) runner() string { return event.Runner }
func (event ReuseSeen) runner() string        { return event.Runner }
func (event RunnerGone) runner() string       { return event.Runner }
func (event Aged) runner() string             { return event.Runner }

// Pool applies events to the index: each runner's in the order they came, different runners' side by side.
type Pool struct {
	index    *Index
	workers  []*worker
	waiting  sync.WaitGroup
	Dropped  atomic.Uint64
	Applied  atomic.Uint64
	Inferred atomic.Uint64
}

type worker struct {
	events chan Event
	mutex  sync.Mutex
	rooms  map[string]*room
}

// room is what one runner is taken to hold, the longest unused first.
type room struct {
	order  *list.List
	places map[BlockKey]*list.Element
	tokens int
	limit  float64
}

type held struct {
	key    BlockKey
	tokens int
	used   time.Time
}

// NewPool makes a pool; without workers Add applies at once.
func NewPool(index *Index, workers int) *Pool {
	pool := &Pool{index: index}
	for range max(1, workers) {
		pool.workers = append(pool.workers, &worker{rooms: map[string]*room{}})
	}
	if workers == 0 {
		return pool
	}
	for _, worker := range pool.workers {
		worker.events = make(chan Event, queueLength)
		pool.waiting.Add(1)
		go func() {
			defer pool.waiting.Done()
			for event := range worker.events {
				pool.apply(worker, event)
			}
		}()
	}
	return pool
}

// Close ends the workers once they have applied what was added.
func (pool *Pool) Close() {
	for _, worker := range pool.workers {
		if worker.events != nil {
			close(worker.events)
		}
	}
	pool.waiting.Wait()
}

// Add hands an event to its runner's worker. A full queue drops it: the index is a hint.
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

var appliers = map[reflect.Type]func(pool *Pool, worker *worker, event Event){
	reflect.TypeFor[BlockStored](): func(pool *Pool, worker *worker, event Event) {
		pool.stored(worker, event.(BlockStored))
	},
	reflect.TypeFor[BlockRemoved](): func(pool *Pool, worker *worker, event Event) {
		removed := event.(BlockRemoved)
		if room := worker.rooms[removed.Runner]; room != nil {
			for _, key := range removed.Keys {
				pool.remove(room, removed.Runner, key)
			}
		}
	},
	reflect.TypeFor[AllBlocksCleared](): func(*Pool, *worker, Event) {},
	reflect.TypeFor[ReuseSeen](): func(pool *Pool, worker *worker, event Event) {
		pool.reuse(worker, event.(ReuseSeen))
	},
	reflect.TypeFor[RunnerGone](): func(pool *Pool, worker *worker, event Event) {
		gone := event.(RunnerGone)
		if room := worker.rooms[gone.Runner]; room != nil {
			for key := range room.places {
				pool.index.Evict(key, gone.Runner)
			}
			delete(worker.rooms, gone.Runner)
		}
	},
	reflect.TypeFor[Aged](): func(pool *Pool, worker *worker, event Event) {
		aged := event.(Aged)
		room := worker.rooms[aged.Runner]
		for room != nil && room.order.Len() > 0 && aged.Now.Sub(room.order.Front().Value.(*held).used) > IdleAge {
			pool.Inferred.Add(1)
			pool.remove(room, aged.Runner, room.order.Front().Value.(*held).key)
		}
	},
}

func (pool *Pool) apply(worker *worker, event Event) {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	pool.Applied.Add(1)
	appliers[reflect.TypeOf(event)](pool, worker, event)
}

func (pool *Pool) stored(worker *worker, event BlockStored) {
	here := worker.rooms[event.Runner]
	if here == nil {
		here = &room{order: list.New(), places: map[BlockKey]*list.Element{}, limit: InitialRoom}
		worker.rooms[event.Runner] = here
	}
	// The last block of a prompt is the first an engine lets go, so the opening is touched last and outlives it.
	for place := len(event.Keys) - 1; place >= 0; place-- {
		key := event.Keys[place]
		if element := here.places[key]; element != nil {
			element.Value.(*held).used = event.Now
			here.order.MoveToBack(element)
			continue
		}
		here.places[key] = here.order.PushBack(&held{key: key, tokens: event.Tokens[place], used: event.Now})
		here.tokens += event.Tokens[place]
	}
	pool.index.Add(event.Now, event.Keys, event.Runner)
	pool.squeeze(here, event.Runner)
}

// squeeze removes the longest unused blocks until the rest fit the room.
func (pool *Pool) squeeze(room *room, runner string) {
	for float64(room.tokens) > room.limit && room.order.Len() > 0 {
		pool.Inferred.Add(1)
		pool.remove(room, runner, room.order.Front().Value.(*held).key)
	}
}

func (pool *Pool) remove(room *room, runner string, key BlockKey) {
	if element := room.places[key]; element != nil {
		room.tokens -= element.Value.(*held).tokens
		room.order.Remove(element)
		delete(room.places, key)
	}
	pool.index.Evict(key, runner)
}

// reuse corrects the estimate of a runner's room by what its first token showed.
func (pool *Pool) reuse(worker *worker, event ReuseSeen) {
	room := worker.rooms[event.Runner]
	if room == nil {
		return
	}
	if event.Held {
		// Only hits near the limit say that the limit is too small.
		if float64(room.tokens) > 0.9*room.limit {
			room.limit = min(mostRoom, room.limit*grow)
		}
		return
	}
	room.limit = max(leastRoom, min(room.limit, float64(room.tokens))*shrink)
	pool.squeeze(room, event.Runner)
}
