package controller

import (
	"testing"
	"time"

	"wardtray/coordination/lease"
)

// Without a lease only a daemon that is isolated from every core machine may dispatch.
func TestPermissionWithoutLease(t *testing.T) {
	const withoutCore = 10 * time.Second
	now := started.Add(lease.DaemonTTL + time.Second)
	isolatedUntil := now.Add(isolationStep)
	for name, test := range map[string]struct {
		change func(permission *permission)
		want   time.Time
	}{
		"isolated":    {func(_ *permission) {}, isolatedUntil},
		"never ready": {func(permission *permission) { permission.leases.ready = false }, time.Time{}},
		"too few rounds": {
			func(permission *permission) { permission.unansweredRounds = isolationRounds - 1 },
			started.Add(lease.DaemonTTL),
		},
		"suspended": {
			func(permission *permission) { permission.lastTick = now.Add(-suspensionThreshold) },
			started.Add(lease.DaemonTTL),
		},
		"something newer": {
			func(permission *permission) { permission.onNewerSequence(8) },
			started.Add(lease.DaemonTTL),
		},
		"not allowed": {
			func(permission *permission) { permission.withoutCore = 0 },
			started.Add(lease.DaemonTTL),
		},
		"at the end": {
			func(permission *permission) { permission.withoutCore = time.Second + isolationStep/2 },
			now.Add(isolationStep / 2),
		},
	} {
		current := newTestLeases()
		current.grant(started, lease.DaemonTTL)
		current.ready = true
		current.recordEnd()
		tested := newPermission(withoutCore, current.configuration, current)
		tested.tick(now)
		tested.unansweredRounds = isolationRounds
		test.change(tested)
		if until := tested.until(now); !until.Equal(test.want) {
			t.Errorf("%s: until %v instead of %v", name, until.Sub(started), test.want.Sub(started))
		}
	}
}

// A tick after a pause starts to count rounds anew.
func TestTickAfterSuspension(t *testing.T) {
	current := newTestLeases()
	tested := newPermission(0, current.configuration, current)
	tested.tick(started)
	tested.unansweredRounds = isolationRounds
	tested.tick(started.Add(suspensionThreshold - 1))
	if tested.unansweredRounds != isolationRounds {
		t.Error("a pause below the threshold counts")
	}
	tested.tick(started.Add(2 * suspensionThreshold))
	if tested.unansweredRounds != 0 {
		t.Error("a suspension does not count")
	}
}
