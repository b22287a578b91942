package simulation

import (
	"strings"
	"testing"
	"time"

	"wardtray/verify/histories"
	"wardtray/wire"
)

func TestDaemonCheckReportsAStepBack(t *testing.T) {
	checker, host := NewWorld(1).Check, &Host{Address: "data"}
	for _, epoch := range []uint64{1, 3, 3} {
		checker.daemons.requireNoOlderEpoch(host, epoch)
	}
	if len(checker.Violations) > 0 {
		t.Fatalf("violations without a return to an older epoch: %v", checker.Violations)
	}
	checker.daemons.requireNoOlderEpoch(host, 2)
	if len(checker.Violations) != 1 || !strings.Contains(checker.Violations[0], "slipped back from epoch 3 to 2") {
		t.Errorf("violations %v", checker.Violations)
	}
}

func TestDaemonCheckBoundsHowLongAChangeIsIgnored(t *testing.T) {
	tests := []struct {
		name  string
		late  time.Duration
		epoch uint64
		found bool
	}{
		{"followed", time.Hour, 2, false},
		{"ignored within the bound", histories.SpecBound, 1, false},
		{"ignored for too long", histories.SpecBound + time.Millisecond, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			world := NewWorld(1)
			world.Check.outcomes.recordAccepted(&Order{Operation: "change", Epoch: 2, Got: world.Now.Add(-test.late)})
			world.Check.daemons.requireAcknowledged(&Host{Address: "data"}, test.epoch)
			if found := len(world.Check.Violations) > 0; found != test.found {
				t.Errorf("violations %v", world.Check.Violations)
			}
		})
	}
}

func TestDaemonCheckLetsDaemonsWithoutTheCoreIgnoreMore(t *testing.T) {
	const late = histories.SpecBound + time.Second
	isolated := func(world *World) isolation { return isolation{since: world.Now.Add(-late)} }
	tests := []struct {
		name           string
		isolationLimit time.Duration
		state          func(world *World) isolation
		want           bool
	}{
		{"never isolated", time.Minute, func(*World) isolation { return isolation{} }, false},
		{"isolated within its setting", time.Minute, isolated, true},
		{"isolated beyond its setting", time.Second, isolated, false},
		{"isolated without a setting", 0, isolated, false},
		{"just reconnected", time.Minute, func(world *World) isolation {
			return isolation{previous: world.Now.Add(-late), finished: world.Now}
		}, true},
		{"long reconnected", time.Minute, func(world *World) isolation {
			return isolation{previous: world.Now.Add(-late), finished: world.Now.Add(-2 * reconnectBound)}
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			world, host := NewWorld(1), &Host{Address: "data"}
			world.IsolationLimit = test.isolationLimit
			*world.isolations.of(host) = test.state(world)
			if got := world.Check.daemons.mayIgnore(host, late, histories.SpecBound); got != test.want {
				t.Errorf("may ignore it: %v, want %v", got, test.want)
			}
		})
	}
}

func TestDaemonCheckReportsRemovedRunners(t *testing.T) {
	world, host := NewWorld(1), &Host{Address: "data"}
	world.Platform.removedAt = map[string]time.Time{"gone": world.Now.Add(-histories.DrainingBound - time.Second)}
	world.Check.daemons.requireNoRemovedRunner(host, []*wire.Runner{{RunnerId: "listed"}})
	if len(world.Check.Violations) > 0 {
		t.Fatalf("violations %v", world.Check.Violations)
	}
	world.Check.daemons.requireNoRemovedRunner(host, []*wire.Runner{{RunnerId: "gone"}})
	if len(world.Check.Violations) != 1 {
		t.Errorf("violations %v, want one", world.Check.Violations)
	}
}
