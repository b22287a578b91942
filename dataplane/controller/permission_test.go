package controller

import (
	"testing"
	"time"

	"wardtray/coordination/lease"
)

// Without a lease, only a daemon that is isolated from every control machine may dispatch, for a limited time.
// Otherwise it could serve with an outdated configuration while the control plane has acknowledged a newer one.
func TestPermissionWithoutLease(t *testing.T) {
	const isolationLimit = 10 * time.Second
	now := started.Add(lease.DaemonTTL + time.Second)
	isolatedUntil := now.Add(isolationRecheckInterval)
	for name, test := range map[string]struct {
		change func(permission *permission)
		want   time.Time
	}{
		"isolated":    {func(_ *permission) {}, isolatedUntil},
		"never ready": {func(permission *permission) { permission.leases.ready = false }, time.Time{}},
		"too few unanswered rounds": {
			func(permission *permission) { permission.unansweredRounds = isolationRounds - 1 },
			started.Add(lease.DaemonTTL),
		},
		"suspended": {
			func(permission *permission) { permission.lastTick = now.Add(-suspensionThreshold) },
			started.Add(lease.DaemonTTL),
		},
		"a newer document is known": {
			func(permission *permission) { permission.onNewerSequence(8) },
			started.Add(lease.DaemonTTL),
		},
		"not allowed": {
			func(permission *permission) { permission.isolationLimit = 0 },
			started.Add(lease.DaemonTTL),
		},
		"near the end of the isolation limit": {
			func(permission *permission) { permission.isolationLimit = time.Second + isolationRecheckInterval/2 },
			now.Add(isolationRecheckInterval / 2),
		},
	} {
		current := newTestLeases()
		current.grant(started, lease.DaemonTTL)
		current.ready = true
		current.recordEnd()
		tested := newPermission(isolationLimit, current.configuration, current)
		tested.tick(now)
		tested.unansweredRounds = isolationRounds
		test.change(tested)
		if until := tested.until(now); !until.Equal(test.want) {
			t.Errorf("%s: until %v instead of %v", name, until.Sub(started), test.want.Sub(started))
		}
	}
}

// A tick after a pause of at least suspensionThreshold resets the count of unanswered rounds: a suspended process sends
// no requests, so that missing responses do not show that it is isolated.
func TestTickAfterSuspension(t *testing.T) {
	current := newTestLeases()
	tested := newPermission(0, current.configuration, current)
	tested.tick(started)
	tested.unansweredRounds = isolationRounds
	tested.tick(started.Add(suspensionThreshold - 1))
	if tested.unansweredRounds != isolationRounds {
		t.Error("a pause below the threshold reset the rounds")
	}
	tested.tick(started.Add(2 * suspensionThreshold))
	if tested.unansweredRounds != 0 {
		t.Error("a suspension did not reset the rounds")
	}
}
