package simulation

import (
	"context"
	"io"
	"iter"
	"log/slog"
	"time"

	"wardtray/balancer/scheduler"
)

var silent = slog.New(slog.NewTextHandler(io.Discard, nil))

// strand is one piece of work of a host as a coroutine: it runs until it parks, and nothing else runs
// meanwhile. The seed decides how soon it goes on after it was woken.
type strand struct {
	host   *Host
	life   int
	next   func() (struct{}, bool)
	stop   func()
	yield  func(struct{}) bool
	woken  bool
	ended  bool
	arrive func() bool
	// decided is when this strand last learned something of its request's ways: a step of its desk, what a
	// runner said, or that a connection failed.
	decided time.Time
}

// gone unwinds a strand whose process has ended.
type gone struct{}

// spawn begins a piece of work in a host's process.
func (world *World) spawn(host *Host, work func()) *strand {
	made := &strand{host: host, life: host.life}
	made.next, made.stop = iter.Pull(func(yield func(struct{}) bool) {
		made.yield = yield
		defer func() {
			if cause := recover(); cause != nil && cause != any(gone{}) {
				panic(cause)
			}
		}()
		work()
	})
	host.strands = append(host.strands, made)
	world.wake(made)
	return made
}

// wake lets a strand go on a moment later, or when its host wakes from a freeze.
func (world *World) wake(strand *strand) {
	if strand == nil || strand.woken || strand.ended {
		return
	}
	strand.woken = true
	world.After(time.Duration(world.random.Int63n(int64(60*time.Microsecond))), func() {
		world.on(strand.host, strand.life, func() { world.goOn(strand) })
	})
}

func (world *World) goOn(strand *strand) {
	strand.woken = false
	if strand.ended {
		return
	}
	former := world.current
	world.current = strand
	_, going := strand.next()
	world.current = former
	if going {
		return
	}
	strand.ended = true
	for place, other := range strand.host.strands {
		if other == strand {
			strand.host.strands = append(strand.host.strands[:place], strand.host.strands[place+1:]...)
			break
		}
	}
}

// park lets everything else go on until somebody wakes this strand.
func (strand *strand) park() {
	if !strand.yield(struct{}{}) {
		panic(gone{})
	}
}

// sleep parks the running strand for a length of true time.
func (world *World) sleep(length time.Duration) {
	strand, until := world.current, world.Now.Add(length)
	world.At(until, func() { world.wake(strand) })
	for world.Now.Before(until) {
		strand.park()
	}
}

// wait parks the running strand for a length of true time, or until a channel is closed or a context ends.
func (world *World) wait(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	strand, end := world.current, world.Now.Add(length)
	world.At(end, func() { world.wake(strand) })
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

// until parks the running strand until something of its own process holds.
func (world *World) until(holds func() bool) {
	strand := world.current
	for !holds() {
		strand.arrive = holds
		strand.park()
	}
	strand.arrive = nil
}

// stir wakes whoever waited for something of its process that has come about.
func (world *World) stir(host *Host) {
	for _, strand := range host.strands {
		if strand.arrive != nil && strand.arrive() {
			world.wake(strand)
		}
	}
}

// await is how a course waits for its desk's next step.
func (world *World) await(ctx context.Context, steps <-chan scheduler.Step) (step scheduler.Step, decided bool) {
	world.until(func() bool { return len(steps) > 0 || ctx.Err() != nil })
	world.current.decided = world.Now
	if len(steps) == 0 {
		return scheduler.Step{}, false
	}
	return <-steps, true
}

// endStreams ends all work of a host that is about to end, and the connections that it had.
func (world *World) endStreams(host *Host) {
	for _, strand := range host.strands {
		strand.ended = true
		strand.stop()
	}
	host.strands = nil
	for _, conn := range host.conns {
		conn.crash(!host.dark)
	}
	host.conns = nil
	askers := host.askers
	host.askers = nil
	for _, asker := range askers {
		asker.lose()
	}
}

// Close ends all work, so that nothing is left behind when a run is over.
func (world *World) Close() {
	for _, host := range world.Hosts {
		for _, strand := range host.strands {
			strand.ended = true
			strand.stop()
		}
		host.strands = nil
	}
}
