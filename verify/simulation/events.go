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
		panic(fmt.Sprintf("the queue holds no %T", added))
	}
	*events = append(*events, planned)
}

func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// At plans something.
func (world *World) At(at time.Time, do func()) {
	world.sequence++
	heap.Push(&world.queue, event{at: at, sequence: world.sequence, do: do})
}

// After plans something for later.
func (world *World) After(length time.Duration, do func()) { world.At(world.Now.Add(length), do) }

// Run goes on for a length of simulated time, or until a rule is broken.
func (world *World) Run(length time.Duration) {
	end := world.Now.Add(length)
	for len(world.queue) > 0 && !world.queue[0].at.After(end) && len(world.Check.Violations) == 0 {
		next := world.queue[0]
		heap.Pop(&world.queue)
		world.Now = next.at
		next.do()
		world.refreshIsolation()
		world.addToTrace(uint64(next.at.UnixNano()) ^ next.sequence<<1)
	}
	world.Now = end
}
