package simulation

import (
	"time"

	"wardtray/wire"
)

// tickEvery is how often the state machine of a core or a data daemon is ticked.
const tickEvery = 50 * time.Millisecond

// process is what a host runs. Its methods are called in steps of the host's process only, but for boot and end.
type process interface {
	// boot starts it in the host's present incarnation.
	boot()
	// afterStep carries out what a step has brought about.
	afterStep()
	// receive hands it a message from another host.
	receive(envelope *wire.Envelope)
	// connectionRefused tells it that nobody listens at an address to which it sent something at a time, by its own clock.
	connectionRefused(address string, tried time.Time)
	// end is called when it ends, in whatever way.
	end()
}

// Host is one simulated machine and the lives of its process: a core, a data daemon or a runner.
type Host struct {
	world   *World
	Address string
	Zone    string
	// process is what the machine runs; it is the one of the following that is not nil.
	process process
	core    *coreProcess
	daemon  *daemonProcess
	runner  *runnerProcess
	// seeds are the addresses that the process begins with.
	seeds []string
	// drift is by what part the machine's clock goes wrong.
	drift float64
	// incarnation counts the starts and the ends of the process.
	incarnation int
	up          bool
	// frozen means that the process stands still; backlog is what it does when it wakes.
	frozen  bool
	backlog []func()
	// wokenAt is when the process last woke from a freeze.
	wokenAt time.Time
	// poweredOff means that the machine is gone without a word: nothing answers, not even its system.
	poweredOff bool
	// removed means that the machine was taken away for good.
	removed bool
	// coroutines are the pieces of work of this incarnation that have begun and not ended, conns its connections.
	coroutines []*coroutine
	conns      []*conn
	// processingDelay is how much later than others the process deals with what comes.
	processingDelay time.Duration
	// resetAt is when the machine's connections were last reset: what was on its way then is lost.
	resetAt time.Time
	// Sent is how many bytes of messages it has sent.
	Sent uint64
}

// Up reports whether the host's process runs.
func (host *Host) Up() bool { return host.up }

// local returns the time by the host's own clock.
func (host *Host) local() time.Time {
	world := host.world
	passed := world.Now.Sub(world.started)
	return world.started.Add(passed + time.Duration(float64(passed)*host.drift))
}

// Boot starts a host's process, if it does not run.
func (host *Host) Boot() {
	if host.up || host.removed {
		return
	}
	host.world.topology.changed()
	host.up, host.frozen, host.backlog, host.poweredOff = true, false, nil, false
	host.incarnation++
	host.process.boot()
}

// Kill ends a process; what its disk has synced stays.
func (host *Host) Kill() {
	world := host.world
	host.endCoroutines()
	host.endConnections()
	host.process.end()
	if host.up && !host.poweredOff && host.runner == nil {
		world.network.closeConnections(host)
	}
	world.topology.changed()
	host.up = false
	host.incarnation++
	host.backlog = nil
}

// Power takes the power from a machine in the middle of whatever it was writing.
func (host *Host) Power() {
	if host.core != nil && host.up {
		host.core.storage.losePower()
	}
	host.poweredOff = true
	host.Kill()
}

// Freeze stops a process without ending it; Wake lets it go on, with all that came meanwhile.
func (host *Host) Freeze() {
	host.frozen = true
	host.world.topology.changed()
}

// Wake ends a freeze.
func (host *Host) Wake() {
	world := host.world
	if !host.frozen {
		return
	}
	host.frozen, host.wokenAt = false, world.Now
	world.topology.changed()
	held := host.backlog
	host.backlog = nil
	for _, do := range held {
		do()
	}
}

// on runs something in a host's process, or later if it is frozen, or never if it ended.
func (host *Host) on(incarnation int, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog, func() { host.on(incarnation, do) })
		return
	}
	do()
	host.process.afterStep()
}

// reach runs something at a host, if it is there.
func (host *Host) reach(do func()) {
	if !host.up || host.poweredOff || host.isFull() {
		return
	}
	host.on(host.incarnation, do)
}

// isFull reports whether a frozen process has got so much that its machine's sockets take no more.
func (host *Host) isFull() bool { return host.frozen && len(host.backlog) >= backlogLimit }

// every does something in a host's process again and again, while that lives and is not frozen, from a random moment
// on.
func (host *Host) every(incarnation int, length time.Duration, do func()) {
	world := host.world
	world.After(time.Duration(world.random.Int63n(int64(length))),
		func() { host.repeat(incarnation, length, do) })
}

// repeat does something in a host's process now and again and again, while that lives and is not frozen.
func (host *Host) repeat(incarnation int, length time.Duration, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		host.on(incarnation, do)
	}
	host.world.After(length, func() { host.repeat(incarnation, length, do) })
}

// endCoroutines unwinds all work of a host.
func (host *Host) endCoroutines() {
	for _, coroutine := range host.coroutines {
		coroutine.finished = true
		coroutine.stop()
	}
	host.coroutines = nil
}

// endConnections ends the connections of a process that is about to end.
func (host *Host) endConnections() {
	for _, conn := range host.conns {
		conn.crash(!host.poweredOff)
	}
	host.conns = nil
}

// resetConnections loses all that is on its way to or from a machine.
func (host *Host) resetConnections() { host.resetAt = host.world.Now }
