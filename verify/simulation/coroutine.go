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

// coroutine is one piece of work of a host as a coroutine: it runs until it parks, and nothing else runs
// meanwhile. The seed decides how soon it goes on after it was woken.
type coroutine struct {
	host        *Host
	incarnation int
	next        func() (struct{}, bool)
	stop        func()
	yield       func(struct{}) bool
	woken       bool
	finished    bool
	arrive      func() bool
	// decided is when this coroutine last learned something of its request's ways: a step of its scheduler, what a
	// runner said, or that a connection failed.
	decided time.Time
}

// processEnded unwinds a coroutine whose process has ended.
type processEnded struct{}

// coroutines runs the pieces of work of all hosts, one at a time.
type coroutines struct {
	world *World
	// current is the coroutine that runs now; nil: none does.
	current *coroutine
}

// spawn begins a piece of work in a host's process.
func (coroutines *coroutines) spawn(host *Host, work func()) {
	made := &coroutine{host: host, incarnation: host.incarnation}
	made.next, made.stop = iter.Pull(func(yield func(struct{}) bool) {
		made.yield = yield
		defer func() {
			if cause := recover(); cause != nil && cause != any(processEnded{}) {
				panic(cause)
			}
		}()
		work()
	})
	host.coroutines = append(host.coroutines, made)
	coroutines.wake(made)
}

// wake lets a coroutine go on a moment later, or when its host wakes from a freeze.
func (coroutines *coroutines) wake(coroutine *coroutine) {
	world := coroutines.world
	if coroutine == nil || coroutine.woken || coroutine.finished {
		return
	}
	coroutine.woken = true
	world.After(time.Duration(world.random.Int63n(int64(60*time.Microsecond))), func() {
		coroutine.host.on(coroutine.incarnation, func() { coroutines.goOn(coroutine) })
	})
}

func (coroutines *coroutines) goOn(coroutine *coroutine) {
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

// park lets everything else go on until somebody wakes this coroutine.
func (coroutine *coroutine) park() {
	if !coroutine.yield(struct{}{}) {
		panic(processEnded{})
	}
}

// sleep parks the running coroutine for a length of true time.
func (coroutines *coroutines) sleep(length time.Duration) {
	world := coroutines.world
	coroutine, until := coroutines.current, world.Now.Add(length)
	world.At(until, func() { coroutines.wake(coroutine) })
	for world.Now.Before(until) {
		coroutine.park()
	}
}

// wait parks the running coroutine for a length of true time, or until a channel is closed or a context ends.
func (coroutines *coroutines) wait(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	world := coroutines.world
	coroutine, end := coroutines.current, world.Now.Add(length)
	world.At(end, func() { coroutines.wake(coroutine) })
	coroutines.until(func() bool { return closed(woken) || ctx.Err() != nil || !world.Now.Before(end) })
	if closed(woken) {
		coroutine.decided = world.Now
	}
}

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// until parks the running coroutine until something of its own process holds.
func (coroutines *coroutines) until(holds func() bool) {
	coroutine := coroutines.current
	for !holds() {
		coroutine.arrive = holds
		coroutine.park()
	}
	coroutine.arrive = nil
}

// stir wakes whoever waited for something of its process that has come about.
func (coroutines *coroutines) stir(host *Host) {
	for _, coroutine := range host.coroutines {
		if coroutine.arrive != nil && coroutine.arrive() {
			coroutines.wake(coroutine)
		}
	}
}

// await is how an exchange waits for its scheduler's next step.
func (coroutines *coroutines) await(
	ctx context.Context,
	steps <-chan scheduler.Decision,
) (step scheduler.Decision, decided bool) {
	coroutines.until(func() bool { return len(steps) > 0 || ctx.Err() != nil })
	coroutines.current.decided = coroutines.world.Now
	if len(steps) == 0 {
		return scheduler.Decision{}, false
	}
	return <-steps, true
}
