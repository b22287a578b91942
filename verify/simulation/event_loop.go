package simulation

import (
	"container/heap"
	"fmt"
	"time"
)

type event struct {
	at       time.Time
	sequence uint64
	do       func()
}

type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(left, right int) bool {
	if !events[left].at.Equal(events[right].at) {
		return events[left].at.Before(events[right].at)
	}
	return events[left].sequence < events[right].sequence
}

func (events events) Swap(left, right int) { events[left], events[right] = events[right], events[left] }

func (events *events) Push(added any) {
	planned, isEvent := added.(event)
	if !isEvent {
		panic(fmt.Sprintf("event queue: unexpected %T", added))
	}
	*events = append(*events, planned)
}

func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// eventLoop is the simulated time with its queue of scheduled events. Events of the same time run in the order in which
// they were scheduled.
type eventLoop struct {
	// Now is the true simulated time, which no host knows.
	Now      time.Time
	started  time.Time
	queue    events
	sequence uint64
	trace    uint64
}

func newEventLoop(started time.Time) *eventLoop { return &eventLoop{Now: started, started: started} }

// At schedules an event.
func (loop *eventLoop) At(at time.Time, do func()) {
	loop.sequence++
	heap.Push(&loop.queue, event{at: at, sequence: loop.sequence, do: do})
}

// After schedules an event after a duration.
func (loop *eventLoop) After(length time.Duration, do func()) { loop.At(loop.Now.Add(length), do) }

// run runs the events of a duration of simulated time, unless halted reports true before; afterEach is called after
// each event.
func (loop *eventLoop) run(length time.Duration, halted func() bool, afterEach func()) {
	end := loop.Now.Add(length)
	for len(loop.queue) > 0 && !loop.queue[0].at.After(end) && !halted() {
		next := loop.queue[0]
		heap.Pop(&loop.queue)
		loop.Now = next.at
		next.do()
		afterEach()
		loop.addToTrace(uint64(next.at.UnixNano()) ^ next.sequence<<1)
	}
	loop.Now = end
}

// addToTrace hashes a value into the trace, so that two runs of one seed can be compared.
func (loop *eventLoop) addToTrace(value uint64) { loop.trace = (loop.trace ^ value) * 0x100000001b3 }

// Trace returns a hash of all events and messages so far.
func (loop *eventLoop) Trace() uint64 { return loop.trace }
