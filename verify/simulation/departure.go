package simulation

import (
	"time"

	"wardtray/verify/histories"
)

// leave closes the client's connection; the close reaches the machine of its daemon a little later, behind the request.
func (asker *asker) leave() {
	if asker.over || asker.leaving {
		return
	}
	asker.leaving, asker.record.HungUp = true, true
	if asker.host != nil {
		asker.closed()
	}
}

// closed carries the close to the daemon's machine, whose process learns of it when it runs.
func (asker *asker) closed() {
	traffic, host := asker.traffic, asker.host
	traffic.world.After(traffic.world.wayTime(), func() {
		if asker.over || !host.up || host.incarnation != asker.incarnation {
			return
		}
		asker.record.HungUpAt = traffic.world.Now
		asker.tell()
		asker.judge(traffic.world.Now)
	})
}

// judge looks whether the daemon still works for the client once its process has run for long enough without a break.
func (asker *asker) judge(since time.Time) {
	traffic, host := asker.traffic, asker.host
	traffic.world.After(histories.DepartureBound, func() {
		now := traffic.world.Now
		if !host.up || host.incarnation != asker.incarnation {
			return
		}
		if host.frozen || host.woken.After(since) {
			asker.judge(now)
			return
		}
		traffic.judge.CheckDeparture(asker.record, now)
		traffic.verdict()
	})
}

// tell has the daemon's process learn of the close, at once or when it wakes from a freeze.
func (asker *asker) tell() {
	asker.traffic.world.on(asker.host, asker.incarnation, func() {
		if told := asker.told; told != nil {
			asker.told = nil
			told()
		}
	})
}

// Left tells whether the close has reached the daemon's machine.
func (asker *asker) Left() bool { return !asker.record.HungUpAt.IsZero() }

// Watch has a function called when the close comes, or a moment later where it is there.
func (asker *asker) Watch(left func()) (stop func()) {
	asker.told = left
	if asker.Left() {
		asker.traffic.world.After(0, asker.tell)
	}
	return func() { asker.told = nil }
}
