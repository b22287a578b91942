package simulation

import (
	"context"
	"io"
	"iter"
	"log/slog"
	"time"

	"wardtray/balancer/scheduler"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// coroutine is one task of a host: it runs until it parks, and nothing else runs meanwhile. The seed decides how soon
// it resumes after it was woken.
type coroutine struct {
	host        *Host
	incarnation int
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	woken       bool
	finished    bool
	// isReady, if set, reports whether the condition that the coroutine is parked for holds.
	isReady func() bool
	// decidedAt is the time of the last event that decides this coroutine's request: a decision of its scheduler, a
	// runner's answer, or a failed connection.
	decidedAt time.Time
}

// processEnded unwinds a coroutine whose process has ended.
type processEnded struct{}

// coroutines schedules the tasks of all hosts, one at a time.
type coroutines struct {
	world *World
	// current is the running coroutine; nil: none.
	current *coroutine
}

// spawn starts a task in a host's process.
func (coroutines *coroutines) spawn(host *Host, work func()) {
	created := &coroutine{host: host, incarnation: host.incarnation}
	created.next, created.stop = iter.Pull(func(yield func(struct{}) bool) {
		created.yield = yield
		defer func() {
			if cause := recover(); cause != nil && cause != any(processEnded{}) {
				panic(cause)
			}
		}()
		work()
	})
	host.coroutines = append(host.coroutines, created)
	coroutines.wake(created)
}

// wake schedules a coroutine to resume, up to 60 µs later, or when its host wakes from a freeze.
func (coroutines *coroutines) wake(coroutine *coroutine) {
	world := coroutines.world
	if coroutine == nil || coroutine.woken || coroutine.finished {
		return
	}
	coroutine.woken = true
	world.After(time.Duration(world.random.Int63n(int64(60*time.Microsecond))), func() {
		coroutine.host.runInProcess(coroutine.incarnation, func() { coroutines.resume(coroutine) })
	})
}

// resume runs a coroutine until it parks or ends.
func (coroutines *coroutines) resume(coroutine *coroutine) {
	coroutine.woken = false
	if coroutine.finished {
		return
	}
	previous := coroutines.current
	coroutines.current = coroutine
	_, going := coroutine.next()
	coroutines.current = previous
	if going {
		return
	}
	coroutine.finished = true
	for index, other := range coroutine.host.coroutines {
		if other == coroutine {
			coroutine.host.coroutines = append(
				coroutine.host.coroutines[:index],
				coroutine.host.coroutines[index+1:]...)
			break
		}
	}
}

// park suspends this coroutine until it is woken.
func (coroutine *coroutine) park() {
	if !coroutine.yield(struct{}{}) {
		panic(processEnded{})
	}
}

// sleep parks the running coroutine for a duration of simulated time.
func (coroutines *coroutines) sleep(length time.Duration) {
	world := coroutines.world
	coroutine, until := coroutines.current, world.Now.Add(length)
	world.At(until, func() { coroutines.wake(coroutine) })
	for world.Now.Before(until) {
		coroutine.park()
	}
}

// wait parks the running coroutine for a duration of simulated time, or until a channel is closed or a context ends.
func (coroutines *coroutines) wait(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	world := coroutines.world
	coroutine, end := coroutines.current, world.Now.Add(length)
	world.At(end, func() { coroutines.wake(coroutine) })
	coroutines.parkUntil(func() bool { return closed(woken) || ctx.Err() != nil || !world.Now.Before(end) })
	if closed(woken) {
		coroutine.decidedAt = world.Now
	}
}

// closed reports whether a channel is closed.
func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// parkUntil parks the running coroutine until a condition on its own process holds.
func (coroutines *coroutines) parkUntil(holds func() bool) {
	coroutine := coroutines.current
	for !holds() {
		coroutine.isReady = holds
		coroutine.park()
	}
	coroutine.isReady = nil
}

// wakeReady wakes the coroutines of a host whose condition holds now.
func (coroutines *coroutines) wakeReady(host *Host) {
	for _, coroutine := range host.coroutines {
		if coroutine.isReady != nil && coroutine.isReady() {
			coroutines.wake(coroutine)
		}
	}
}

// await parks an exchange until its scheduler's next decision, or until its context ends.
func (coroutines *coroutines) await(
	ctx context.Context,
	steps <-chan scheduler.Decision,
) (step scheduler.Decision, decided bool) {
	coroutines.parkUntil(func() bool { return len(steps) > 0 || ctx.Err() != nil })
	coroutines.current.decidedAt = coroutines.world.Now
	if len(steps) == 0 {
		return scheduler.Decision{}, false
	}
	return <-steps, true
}
