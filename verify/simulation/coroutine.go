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

// spawn begins a piece of work in a host's process.
func (world *World) spawn(host *Host, work func()) {
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
	world.wake(made)
}

// wake lets a coroutine go on a moment later, or when its host wakes from a freeze.
func (world *World) wake(coroutine *coroutine) {
	if coroutine == nil || coroutine.woken || coroutine.finished {
		return
	}
	coroutine.woken = true
	world.After(time.Duration(world.random.Int63n(int64(60*time.Microsecond))), func() {
		world.on(coroutine.host, coroutine.incarnation, func() { world.goOn(coroutine) })
	})
}

func (world *World) goOn(coroutine *coroutine) {
	coroutine.woken = false
	if coroutine.finished {
		return
	}
	previous := world.current
	world.current = coroutine
	_, going := coroutine.next()
	world.current = previous
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
func (world *World) sleep(length time.Duration) {
	coroutine, until := world.current, world.Now.Add(length)
	world.At(until, func() { world.wake(coroutine) })
	for world.Now.Before(until) {
		coroutine.park()
	}
}

// wait parks the running coroutine for a length of true time, or until a channel is closed or a context ends.
func (world *World) wait(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	coroutine, end := world.current, world.Now.Add(length)
	world.At(end, func() { world.wake(coroutine) })
	world.until(func() bool { return closed(woken) || ctx.Err() != nil || !world.Now.Before(end) })
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
func (world *World) until(holds func() bool) {
	coroutine := world.current
	for !holds() {
		coroutine.arrive = holds
		coroutine.park()
	}
	coroutine.arrive = nil
}

// stir wakes whoever waited for something of its process that has come about.
func (world *World) stir(host *Host) {
	for _, coroutine := range host.coroutines {
		if coroutine.arrive != nil && coroutine.arrive() {
			world.wake(coroutine)
		}
	}
}

// await is how a course waits for its scheduler's next step.
func (world *World) await(
	ctx context.Context,
	steps <-chan scheduler.Decision,
) (step scheduler.Decision, decided bool) {
	world.until(func() bool { return len(steps) > 0 || ctx.Err() != nil })
	world.current.decided = world.Now
	if len(steps) == 0 {
		return scheduler.Decision{}, false
	}
	return <-steps, true
}

// endStreams ends all work of a host that is about to end, and the connections that it had.
func (world *World) endStreams(host *Host) {
	for _, coroutine := range host.coroutines {
		coroutine.finished = true
		coroutine.stop()
	}
	host.coroutines = nil
	for _, conn := range host.conns {
		conn.crash(!host.poweredOff)
	}
	host.conns = nil
	clients := host.clients
	host.clients = nil
	for _, client := range clients {
		client.loseDaemon()
	}
}

// Close ends all work, so that nothing is left behind when a run is over.
func (world *World) Close() {
	for _, host := range world.Hosts {
		for _, coroutine := range host.coroutines {
			coroutine.finished = true
			coroutine.stop()
		}
		host.coroutines = nil
	}
}
