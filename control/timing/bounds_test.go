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

// limitCombinations yields every combination of several values for each limit.
func limitCombinations() iter.Seq[Limits] {
	seconds := [][]float64{{1, 2, 3, 10}, {1, 2, 3, 4, 5, 30}, {0.5, 1, 2, 10}, {1, 2.5, 3, 4, 10}, {1, 5, 8, 60}}
	count := 1
	for _, values := range seconds {
		count *= len(values)
	}
	return func(yield func(Limits) bool) {
		for number := range count {
			var limits [5]time.Duration
			for index, values := range seconds {
				limits[index] = time.Duration(values[number%len(values)] * float64(time.Second))
				number /= len(values)
			}
			if !yield(
				Limits{Contact: limits[0], Acknowledge: limits[1], Apply: limits[2], CatchUp: limits[3], Grace: limits[4]}) {
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
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

// Guards against limits that pass the check although a procedure with the derived bounds does not finish within them.
func TestDerivedBoundsFitTheSettings(t *testing.T) {
	t.Parallel()
	valid := 0
	for limits := range limitCombinations() {
		bounds := BoundsFor(limits)
		requireOrder(t, limits, bounds)
		if limits.Check() == nil {
			valid++
			requireFit(t, limits, bounds)
		}
	}
	if valid < 100 {
		t.Fatalf("only %d combinations of limits pass the check", valid)
	}
	if err := (Limits{}).Check(); err != nil {
		t.Fatalf("the default limits: %v", err)
	}
	if err := (Limits{CatchUp: time.Second}).Check(); err == nil {
		t.Fatal("a catch-up limit of 1 s passes the check")
	}
}

// requireOrder checks the relations between bounds that must hold for any limits.
func requireOrder(t *testing.T, limits Limits, bounds Bounds) {
	t.Helper()
	for relation, holds := range map[string]bool{
		"two heartbeats within the suspicion time":    2*failuredetector.HeartbeatInterval < bounds.Suspicion,
		"a paused process notices before it suspects": bounds.Pause+failuredetector.HeartbeatInterval <= bounds.Suspicion,
		"a daemon's lease is at most half of apply":   2*bounds.DaemonLease <= limits.Apply,
		"a lessee's lease ends before a lessor's":     lease.LesseeTTL < lease.LessorTTL,
		"a lease is requested again before it ends":   2*leadership.RenewInterval < lease.LesseeTTL,
		"a proposal has time for a round of votes":    bounds.Stagger >= 100*time.Millisecond,
		"a decommission ends within the grace period": bounds.DecommissionTimeout < limits.Grace,
	} {
		if !holds {
			t.Fatalf("violated: %s; limits %+v, bounds %+v", relation, limits, bounds)
		}
	}
}

// requireFit checks the relations between bounds and limits that must hold if the limits pass the check.
func requireFit(t *testing.T, limits Limits, bounds Bounds) {
	t.Helper()
	acknowledgement := bounds.Detection() + bounds.Stagger + lease.LessorTTL + bounds.DaemonLease + daemonlease.ClockMargin
	for relation, holds := range map[string]bool{
		"detection, stagger and both leases below acknowledge": acknowledgement < limits.Acknowledge,
		"a repaired acceptor below catch_up":                   bounds.AcceptorRepair() < limits.CatchUp,
		"a repaired replica within catch_up":                   bounds.ReplicaRepair() <= limits.CatchUp,
		"a detection below contact":                            bounds.Detection() <= limits.Contact,
	} {
		if !holds {
			t.Fatalf("violated: %s; limits %+v, bounds %+v", relation, limits, bounds)
		}
	}
}
