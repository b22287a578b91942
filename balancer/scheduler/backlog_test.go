package scheduler

import (
	"math"
	"testing"
	"time"
)

// A runner prefills pending prompts one after the other. A late first event delays the prediction for the prompts
// behind it, and a request that ends without one no longer counts.
func TestBacklogPredictsWhenARunnerIsFree(t *testing.T) {
	backlog := runnerBacklog{slowdown: 1}
	first, second, third := &QueuedRequest{}, &QueuedRequest{}, &QueuedRequest{}
	backlog.add(started, first, 1, 1)
	backlog.add(started, second, 2, 3)
	backlog.add(started, third, 4, 7)
	check := func(name string, now time.Time, want float64) {
		t.Helper()
		if wait := backlog.wait(now); math.Abs(wait-want) > 1e-6 {
			t.Errorf("%s: predicted wait %v s, want %v s", name, wait, want)
		}
	}
	check("three prompts", started, 7)
	backlog.firstEvent(started.Add(2*time.Second), first, 2, 1)
	check("a first event one second late", started.Add(2*time.Second), 5+latenessCorrection)
	backlog.remove(second)
	backlog.remove(second)
	check("after the second request ended", started.Add(2*time.Second), 3+latenessCorrection)
	check("long overdue", started.Add(time.Minute), 2)
	backlog.remove(third)
	check("no pending prompt", started, 0)
}

// Late first events raise a runner's slowdown up to its bound, early ones lower it, and it decays over time.
func TestBacklogSlowdownFades(t *testing.T) {
	backlog := runnerBacklog{slowdown: 1}
	for range 100 {
		backlog.firstEvent(started, &QueuedRequest{}, 10, 1)
	}
	if slowdown := backlog.slowdownAt(started); slowdown != maxSlowdown {
		t.Fatalf("slowdown %v after late events, want %v", slowdown, maxSlowdown)
	}
	want := 1 + (maxSlowdown-1)/math.E
	if slowdown := backlog.slowdownAt(started.Add(slowdownDecay)); math.Abs(slowdown-want) > 1e-9 {
		t.Fatalf("slowdown %v after %v, want %v", slowdown, slowdownDecay, want)
	}
	for range 100 {
		backlog.firstEvent(started, &QueuedRequest{}, 0, 1)
	}
	if slowdown := backlog.slowdownAt(started); slowdown != minSlowdown {
		t.Fatalf("slowdown %v after early events, want %v", slowdown, minSlowdown)
	}
}
