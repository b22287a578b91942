package timing

import (
	"iter"
	"testing"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/coordination/lease"
)

// drawnLimits gives settings of many kinds in every combination.
func drawnLimits() iter.Seq[Limits] {
	chosen := [][]float64{{1, 2, 3, 10}, {1, 2, 3, 4, 5, 30}, {0.5, 1, 2, 10}, {1, 2.5, 3, 4, 10}, {1, 5, 8, 60}}
	count := 1
	for _, values := range chosen {
		count *= len(values)
	}
	return func(yield func(Limits) bool) {
		for number := range count {
			var lengths [5]time.Duration
			for place, values := range chosen {
				lengths[place] = time.Duration(values[number%len(values)] * float64(time.Second))
				number /= len(values)
			}
			if !yield(
				Limits{Contact: lengths[0], Acknowledge: lengths[1], Apply: lengths[2], CatchUp: lengths[3], Grace: lengths[4]}) {
				return
			}
		}
	}
}

func TestBoundsFor(t *testing.T) {
	t.Parallel()
	const milliseconds = time.Millisecond
	for name, test := range map[string]struct {
		limits Limits
		want   Bounds
	}{
		"the default limits": {Limits{}, Bounds{
			Suspicion: 700 * milliseconds, WriteTimeout: 700 * milliseconds, LinkTimeout: 700 * milliseconds,
			Pause: 500 * milliseconds, Stagger: 400 * milliseconds, DaemonLease: time.Second, QuotaTerm: 4 * time.Second,
			Starting: 1500 * milliseconds, DecommissionTimeout: 7200 * milliseconds}},
		"limits of a tenth of a second": {Limits{Contact: 100 * milliseconds, Acknowledge: 100 * milliseconds,
			Apply: 100 * milliseconds, CatchUp: 100 * milliseconds, Grace: 100 * milliseconds}, Bounds{
			Suspicion: 500 * milliseconds, WriteTimeout: 500 * milliseconds, LinkTimeout: 500 * milliseconds,
			Pause: 300 * milliseconds, Stagger: 200 * milliseconds, DaemonLease: 50 * milliseconds,
			QuotaTerm: 100 * milliseconds, Starting: 50 * milliseconds, DecommissionTimeout: 90 * milliseconds}},
		"limits of a minute": {Limits{Contact: time.Minute, Acknowledge: time.Minute, Apply: time.Minute,
			CatchUp: time.Minute, Grace: time.Minute}, Bounds{
			Suspicion: 700 * milliseconds, WriteTimeout: 700 * milliseconds, LinkTimeout: 700 * milliseconds,
			Pause: 500 * milliseconds, Stagger: 400 * milliseconds, DaemonLease: time.Second, QuotaTerm: time.Minute,
			Starting: 2 * time.Second, DecommissionTimeout: 54 * time.Second}},
	} {
		if got := BoundsFor(test.limits); got != test.want {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// The bounds that are derived from the settings must fit into these, whatever these are as long as they pass the check.
func TestDerivedBoundsFitTheSettings(t *testing.T) {
	t.Parallel()
	fitting := 0
	for limits := range drawnLimits() {
		bounds := BoundsFor(limits)
		requireOrder(t, limits, bounds)
		if limits.Check() == nil {
			fitting++
			requireFit(t, limits, bounds)
		}
	}
	if fitting < 100 {
		t.Fatalf("only %d of the settings pass the check", fitting)
	}
	if err := (Limits{}).Check(); err != nil {
		t.Fatalf("the usual settings: %v", err)
	}
	if err := (Limits{CatchUp: time.Second}).Check(); err == nil {
		t.Fatal("a second to catch up in passes")
	}
}

// requireOrder wants what must hold between bounds under any settings.
func requireOrder(t *testing.T, limits Limits, bounds Bounds) {
	t.Helper()
	for what, holds := range map[string]bool{
		"two heartbeats within a suspicion":              2*failuredetector.HeartbeatInterval < bounds.Suspicion,
		"a frozen process knows before it suspects":      bounds.Pause+failuredetector.HeartbeatInterval <= bounds.Suspicion,
		"a daemon's lease is at most half of apply":      2*bounds.DaemonLease <= limits.Apply,
		"a lessee's lease ends before a lessor's":        lease.LesseeTTL < lease.LessorTTL,
		"a lease is requested again before it ends":      2*leadership.RenewInterval < lease.LesseeTTL,
		"an attempt at a view outlasts a round of votes": bounds.Stagger >= 100*time.Millisecond,
		"a decommission ends before the grace":           bounds.DecommissionTimeout < limits.Grace,
	} {
		if !holds {
			t.Fatalf("%s: not for %+v, which give %+v", what, limits, bounds)
		}
	}
}

// requireFit wants what must hold where the settings pass the check.
func requireFit(t *testing.T, limits Limits, bounds Bounds) {
	t.Helper()
	acknowledgement := bounds.Detection() + bounds.Stagger + lease.LessorTTL + bounds.DaemonLease + daemonlease.ClockMargin
	for what, holds := range map[string]bool{
		"a lease, a detection and a view change below acknowledge": acknowledgement < limits.Acknowledge,
		"a repaired acceptor below catch_up":                       bounds.AcceptorRepair() < limits.CatchUp,
		"a repaired replica within catch_up":                       bounds.ReplicaRepair() <= limits.CatchUp,
		"a detection below contact":                                bounds.Detection() <= limits.Contact,
	} {
		if !holds {
			t.Fatalf("%s: not for %+v, which give %+v", what, limits, bounds)
		}
	}
}
