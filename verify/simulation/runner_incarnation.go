package simulation

import (
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

const (
	// callEvery is how often a runner calls, ackBound how long it waits for the acknowledgement, callRetries how many
	// other cores it calls then.
	callEvery   = 1200 * time.Millisecond
	ackBound    = time.Second
	callRetries = 2
	// drainServe is how long a runner serves on after the acknowledgement that it leaves; it waits for that for
	// drainAckTimeout, and calls drainRetries other cores.
	drainServe      = 2500 * time.Millisecond
	drainAckTimeout = 6 * time.Second
	drainRetries    = 3
	// addressRest is for how long at least nobody uses the address of a runner that is gone.
	addressRest = 2 * time.Second
	warmUpTime  = 1500 * time.Millisecond
)

// runnerIncarnation is one life of a runner.
type runnerIncarnation struct {
	runners *RegisteringRunners
	id      string
	address string
	zone    string
	service string
	started time.Time
	call    uint64
	core    int
	state   string
	running bool
	// pendingCall is the call under way.
	pendingCall uint64
	// knownSince is when a call was first acknowledged, leftAt when it was that it drains or is gone, finishedAt when it
	// stopped without a word or with one.
	knownSince, leftAt, finishedAt time.Time
}

// isSteady reports whether it runs, is known and does not leave.
func (incarnation *runnerIncarnation) isSteady() bool {
	return incarnation.running && incarnation.state == registry.Ready && !incarnation.knownSince.IsZero()
}

// heartbeat calls now and again after a while.
func (incarnation *runnerIncarnation) heartbeat() {
	if !incarnation.running {
		return
	}
	incarnation.register(callRetries)
	world := incarnation.runners.world
	world.After(callEvery*9/10+time.Duration(world.random.Int63n(int64(callEvery/5))), incarnation.heartbeat)
}

// registration is what the runner tells of itself now.
func (incarnation *runnerIncarnation) registration() *wire.Runner {
	registration := &wire.Runner{
		RunnerId: incarnation.id,
		Address:  incarnation.address,
		Zone:     incarnation.zone,
		Service:  incarnation.service,
		Slots:    4,
		State:    incarnation.state,
		Call:     incarnation.call,
	}
	if warmUp := warmUpTime - incarnation.runners.world.Now.Sub(incarnation.started); warmUp > 0 &&
		incarnation.state == registry.Ready {
		registration.State, registration.SlowStartMilliseconds = registry.Cold, uint32(warmUp/time.Millisecond)
	}
	return registration
}

// register calls a core, and others if that does not acknowledge.
func (incarnation *runnerIncarnation) register(more int) {
	incarnation.call++
	call, registration := incarnation.call, incarnation.registration()
	incarnation.pendingCall = call
	draining := incarnation.state == registry.Draining
	incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
		host.core.node.Register(now, registration, answer)
	}, func() {
		if incarnation.pendingCall == call {
			incarnation.pendingCall = 0
		}
		incarnation.recordAcknowledged(draining)
	})
	world := incarnation.runners.world
	// A copy may be long on its way and come to a core that has heard nothing else of this life.
	if world.random.Intn(8) == 0 {
		world.After(time.Duration(world.random.Int63n(int64(4*time.Second))), func() {
			host := world.pick(world.Cores())
			host.reach(func() { host.core.node.Register(host.local(), registration, func(registry.Outcome) {}) })
		})
	}
	world.After(ackBound, func() {
		if incarnation.pendingCall == call && incarnation.running && more > 0 {
			incarnation.core++
			incarnation.register(more - 1)
		}
	})
}

// recordAcknowledged notes what an acknowledgement promises.
func (incarnation *runnerIncarnation) recordAcknowledged(leaves bool) {
	incarnation.runners.Acknowledged++
	if incarnation.knownSince.IsZero() {
		incarnation.knownSince = incarnation.runners.world.Now
	}
	if leaves && incarnation.leftAt.IsZero() {
		incarnation.leftAt = incarnation.runners.world.Now
	}
}

// send hands a call to the core that the life calls now; a refusal makes the next one come soon.
func (incarnation *runnerIncarnation) send(
	do func(now time.Time, host *Host, answer func(outcome registry.Outcome)),
	acked func(),
) {
	world := incarnation.runners.world
	cores := world.Cores()
	host := cores[incarnation.core%len(cores)]
	world.After(world.network.lag(), func() {
		host.reach(func() {
			sent := host.incarnation
			do(host.local(), host, func(outcome registry.Outcome) {
				world.After(world.network.lag(), func() {
					if host.incarnation != sent {
						return
					}
					if outcome == registry.Accepted || outcome == registry.Outdated {
						acked()
						return
					}
					incarnation.runners.Rejected++
					incarnation.core++
				})
			})
		})
	})
}

// drain has a life end as planned: it says so, serves on for a while after the acknowledgement, ends its registration
// and is gone.
func (incarnation *runnerIncarnation) drain() {
	incarnation.state = registry.Draining
	incarnation.register(drainRetries)
	incarnation.leaveWhenAcknowledged(incarnation.runners.world.Now)
}

// leaveWhenAcknowledged serves on for drainServe once the leaving is acknowledged, or was not for too long.
func (incarnation *runnerIncarnation) leaveWhenAcknowledged(tried time.Time) {
	world := incarnation.runners.world
	if incarnation.leftAt.IsZero() && world.Now.Sub(tried) < drainAckTimeout {
		world.After(50*time.Millisecond, func() { incarnation.leaveWhenAcknowledged(tried) })
		return
	}
	world.After(drainServe, incarnation.deregister)
}

// deregister ends the registration, and the process a moment later.
func (incarnation *runnerIncarnation) deregister() {
	incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
		host.core.node.Deregister(now, incarnation.id, answer)
	}, func() { incarnation.recordAcknowledged(true) })
	incarnation.runners.world.After(200*time.Millisecond, incarnation.stop)
}

// stop stops a life without a word; its address goes to another one after a rest.
func (incarnation *runnerIncarnation) stop() {
	if !incarnation.running {
		return
	}
	world := incarnation.runners.world
	incarnation.running, incarnation.finishedAt = false, world.Now
	world.After(addressRest+time.Duration(world.random.Int63n(int64(3*time.Second))), func() {
		incarnation.runners.start(incarnation.address, incarnation.zone, []string{"s", "t"}[world.random.Intn(2)])
	})
}
