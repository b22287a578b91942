package simulation

import (
	"time"

	"wardtray/coordination/registry"
	"wardtray/wire"
)

const (
	// heartbeatInterval is the mean interval between two heartbeats of a runner, ackTimeout the time for which it waits
	// for the acknowledgement, and heartbeatRetries the number of other control machines that it calls then.
	heartbeatInterval = 1200 * time.Millisecond
	ackTimeout        = time.Second
	heartbeatRetries  = 2
	// drainGracePeriod is the time for which a runner continues to serve after the acknowledgement that it drains. It
	// waits for the acknowledgement for drainAckTimeout, and calls drainRetries other control machines.
	drainGracePeriod = 2500 * time.Millisecond
	drainAckTimeout  = 6 * time.Second
	drainRetries     = 3
	// addressReuseDelay is the shortest time before another runner uses the address of one that has ended.
	addressReuseDelay = 2 * time.Second
	warmUpTime        = 1500 * time.Millisecond
)

// runnerIncarnation is one incarnation of a runner.
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
	// pendingCall is the number of the call that is not acknowledged yet; 0: none.
	pendingCall uint64
	// knownSince is the time of the first acknowledgement of a call, leftAt that of the first acknowledgement that the
	// runner drains or has ended, and finishedAt the time at which its process stopped, announced or not.
	knownSince, leftAt, finishedAt time.Time
}

// isRegistered reports whether the incarnation runs, has been acknowledged, and does not drain.
func (incarnation *runnerIncarnation) isRegistered() bool {
	return incarnation.running && incarnation.state == registry.Ready && !incarnation.knownSince.IsZero()
}

// heartbeat calls a control machine and schedules the next heartbeat.
func (incarnation *runnerIncarnation) heartbeat() {
	if !incarnation.running {
		return
	}
	incarnation.register(heartbeatRetries)
	world := incarnation.runners.world
	world.After(heartbeatInterval*9/10+time.Duration(world.random.Int63n(int64(heartbeatInterval/5))),
		incarnation.heartbeat)
}

// registration returns the contents of a call.
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

// register calls a control machine, and up to more others if it does not acknowledge in time.
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
	// A copy of the call may be delayed and reach a control machine that has received nothing else about this incarnation.
	if world.random.Intn(8) == 0 {
		world.After(time.Duration(world.random.Int63n(int64(4*time.Second))), func() {
			host := world.pick(world.Cores())
			host.runIfReachable(func() { host.core.node.Register(host.localTime(), registration, func(registry.Outcome) {}) })
		})
	}
	world.After(ackTimeout, func() {
		if incarnation.pendingCall == call && incarnation.running && more > 0 {
			incarnation.core++
			incarnation.register(more - 1)
		}
	})
}

// recordAcknowledged records an acknowledgement of a call: from now on daemons must list the runner or, if it drains,
// stop using it.
func (incarnation *runnerIncarnation) recordAcknowledged(draining bool) {
	incarnation.runners.Acknowledged++
	if incarnation.knownSince.IsZero() {
		incarnation.knownSince = incarnation.runners.world.Now
	}
	if draining && incarnation.leftAt.IsZero() {
		incarnation.leftAt = incarnation.runners.world.Now
	}
}

// send sends a call to the incarnation's current control machine; after a rejection the next call goes to another one.
func (incarnation *runnerIncarnation) send(
	do func(now time.Time, host *Host, answer func(outcome registry.Outcome)),
	acked func(),
) {
	world := incarnation.runners.world
	cores := world.Cores()
	host := cores[incarnation.core%len(cores)]
	world.After(world.network.lag(), func() {
		host.runIfReachable(func() {
			sent := host.incarnation
			do(host.localTime(), host, func(outcome registry.Outcome) {
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

// drain ends an incarnation as planned: it announces that it drains, continues to serve for a while after the
// acknowledgement, deregisters and ends.
func (incarnation *runnerIncarnation) drain() {
	incarnation.state = registry.Draining
	incarnation.register(drainRetries)
	incarnation.deregisterWhenAcknowledged(incarnation.runners.world.Now)
}

// deregisterWhenAcknowledged deregisters drainGracePeriod after the draining is acknowledged, or after drainAckTimeout
// without an acknowledgement.
func (incarnation *runnerIncarnation) deregisterWhenAcknowledged(tried time.Time) {
	world := incarnation.runners.world
	if incarnation.leftAt.IsZero() && world.Now.Sub(tried) < drainAckTimeout {
		world.After(50*time.Millisecond, func() { incarnation.deregisterWhenAcknowledged(tried) })
		return
	}
	world.After(drainGracePeriod, incarnation.deregister)
}

// deregister ends the registration, and the process a moment later.
func (incarnation *runnerIncarnation) deregister() {
	incarnation.send(func(now time.Time, host *Host, answer func(outcome registry.Outcome)) {
		host.core.node.Deregister(now, incarnation.id, answer)
	}, func() { incarnation.recordAcknowledged(true) })
	incarnation.runners.world.After(200*time.Millisecond, incarnation.stop)
}

// stop ends an incarnation without notice; another one reuses its address after addressReuseDelay or later.
func (incarnation *runnerIncarnation) stop() {
	if !incarnation.running {
		return
	}
	world := incarnation.runners.world
	incarnation.running, incarnation.finishedAt = false, world.Now
	world.After(addressReuseDelay+time.Duration(world.random.Int63n(int64(3*time.Second))), func() {
		incarnation.runners.start(incarnation.address, incarnation.zone, []string{"s", "t"}[world.random.Intn(2)])
	})
}
