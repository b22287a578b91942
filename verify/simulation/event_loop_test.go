package simulation

import (
	"slices"
	"testing"
	"time"
)

func neverHalt() bool { return false }

func TestEventLoopRunsEventsByTimeAndThenByOrderOfPlanning(t *testing.T) {
	loop := newEventLoop(time.Unix(0, 0))
	var happened []string
	note := func(name string) func() {
		return func() { happened = append(happened, name) }
	}
	loop.After(2*time.Second, note("third"))
	loop.After(time.Second, note("first"))
	loop.At(time.Unix(1, 0), note("second"))
	loop.After(3*time.Second, note("after the end"))
	count := 0
	loop.run(2*time.Second, neverHalt, func() { count++ })
	if want := []string{"first", "second", "third"}; !slices.Equal(happened, want) {
		t.Errorf("events ran in the order %v, want %v", happened, want)
	}
	if count != 3 {
		t.Errorf("afterEach was called %d times, want 3", count)
	}
	if !loop.Now.Equal(time.Unix(2, 0)) {
		t.Errorf("the time is %v, want that of the end", loop.Now)
	}
}

func TestEventLoopHalts(t *testing.T) {
	loop := newEventLoop(time.Unix(0, 0))
	count := 0
	var again func()
	again = func() {
		count++
		loop.After(time.Millisecond, again)
	}
	again()
	loop.run(time.Second, func() bool { return count == 5 }, func() {})
	if count != 5 {
		t.Errorf("%d events, want 5", count)
	}
}

func TestEventLoopTraceTellsRunsApart(t *testing.T) {
	trace := func(lengths ...time.Duration) uint64 {
		loop := newEventLoop(time.Unix(0, 0))
		for _, length := range lengths {
			loop.After(length, func() {})
		}
		loop.run(time.Minute, neverHalt, func() {})
		return loop.Trace()
	}
	first, same, other := trace(1, 2), trace(1, 2), trace(2, 1)
	if first != same {
		t.Error("two equal runs have different traces")
	}
	if first == other {
		t.Error("events planned in another order have the same trace")
	}
}
