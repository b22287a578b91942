package simulation

import (
	"time"

	"wardtray/wire"
)

// tickInterval is the interval at which the state machine of a control node or a data daemon ticks.
const tickInterval = 50 * time.Millisecond

// process is a program that a host runs. Apart from boot and end, its methods are called only in steps of the host's
// process.
type process interface {
	// boot starts it in the host's current incarnation.
	boot()
	// afterStep carries out the effects of a step.
	afterStep()
	// receive passes it a message from another host.
	receive(envelope *wire.Envelope)
	// connectionRefused notifies it that an address refused a connection; tried is the time by its own clock at which it
	// sent the message.
	connectionRefused(address string, tried time.Time)
	// end is called when the process ends, whether planned or not.
	end()
}

// Host is one simulated machine with the successive incarnations of its process: a control node, a data daemon or a
// runner.
type Host struct {
	world   *World
	Address string
	Zone    string
	// process is the process of the machine: the one of the next three fields that is not nil.
	process process
	core    *coreProcess
	daemon  *daemonProcess
	runner  *runnerProcess
	// seeds are the addresses that the process starts with.
	seeds []string
	// drift is the relative error of the machine's clock rate.
	drift float64
	// incarnation counts the starts and the ends of the process.
	incarnation int
	up          bool
	// frozen means that the process is stopped without having ended; backlog is the work that it does on waking.
	frozen  bool
	backlog []func()
	// wokenAt is the time at which the process last woke from a freeze.
	wokenAt time.Time
	// poweredOff means that the machine has no power: not even its network stack answers.
	poweredOff bool
	// removed means that the machine was removed permanently.
	removed bool
	// coroutines are the running tasks of this incarnation, conns its connections.
	coroutines []*coroutine
	conns      []*conn
	// processingDelay is the additional delay of each message that the process receives.
	processingDelay time.Duration
	// resetAt is the time at which the machine's connections were last reset; messages in flight at that time are lost.
	resetAt time.Time
	// Sent is the number of bytes of messages that it has sent.
	Sent uint64
}

// Up reports whether the host's process runs.
func (host *Host) Up() bool { return host.up }

// localTime returns the time by the host's own clock.
func (host *Host) localTime() time.Time {
	world := host.world
	passed := world.Now.Sub(world.started)
	return world.started.Add(passed + time.Duration(float64(passed)*host.drift))
}

// Boot starts a host's process, unless it runs or the host was removed.
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

// PowerOff cuts a machine's power in the middle of its pending writes.
func (host *Host) PowerOff() {
	if host.core != nil && host.up {
		host.core.storage.losePower()
	}
	host.poweredOff = true
	host.Kill()
}

// Freeze stops a process without ending it; Wake continues it with all the work that arrived meanwhile.
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

// runInProcess runs a step of a host's process: now, after Wake if it is frozen, or never if that incarnation has
// ended.
func (host *Host) runInProcess(incarnation int, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if host.frozen {
		host.backlog = append(host.backlog, func() { host.runInProcess(incarnation, do) })
		return
	}
	do()
	host.process.afterStep()
}

// runIfReachable runs a step of a host's process if the host accepts connections.
func (host *Host) runIfReachable(do func()) {
	if !host.up || host.poweredOff || host.isBacklogFull() {
		return
	}
	host.runInProcess(host.incarnation, do)
}

// isBacklogFull reports whether the socket buffers of a frozen process's machine are full.
func (host *Host) isBacklogFull() bool { return host.frozen && len(host.backlog) >= backlogLimit }

// startRepeating runs a step at a fixed interval from a random time on, as repeat does.
func (host *Host) startRepeating(incarnation int, length time.Duration, do func()) {
	world := host.world
	world.After(time.Duration(world.random.Int63n(int64(length))),
		func() { host.repeat(incarnation, length, do) })
}

// repeat runs a step now and at a fixed interval until the incarnation ends, except while the process is frozen.
func (host *Host) repeat(incarnation int, length time.Duration, do func()) {
	if !host.up || host.incarnation != incarnation {
		return
	}
	if !host.frozen {
		host.runInProcess(incarnation, do)
	}
	host.world.After(length, func() { host.repeat(incarnation, length, do) })
}

// endCoroutines unwinds all tasks of a host.
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

// resetConnections drops all messages in flight to or from a machine.
func (host *Host) resetConnections() { host.resetAt = host.world.Now }
