package simulation

import (
	"testing"
	"time"
)

const (
	// leaderlessMessageBound is the largest number of messages per second that a daemon sends and receives while no head
	// acts: requests to three acceptors and their answers, the search for the next head, and idle traffic.
	leaderlessMessageBound = 60
	// leaderlessGrowthBound is the largest ratio of that number between a large fleet and a small one.
	leaderlessGrowthBound = 1.25
	// minimumLeaderless is the shortest period without a head over which a rate is meaningful.
	minimumLeaderless = 500 * time.Millisecond
	// maximumLeaderless is the period over which messages are counted if no other head can take over.
	maximumLeaderless = 5 * time.Second
)

// smallAndLargeShapes are fleets with three acceptors each.
var smallAndLargeShapes = []Shape{
	{Zones: []string{"a", "b", "c"}, Machines: []int{4, 4, 4}, Disks: []int{1, 1, 1}, Faults: 1},
	{Zones: []string{"a", "b", "c"}, Machines: []int{27, 27, 26}, Disks: []int{1, 1, 1}, Faults: 1},
}

// leader returns the control machine that acts as head, or nil.
func leader(world *World) *Host {
	for _, host := range world.Cores() {
		if host.Up() && host.core.node.IsLeading(host.localTime()) {
			return host
		}
	}
	return nil
}

// leaderlessMessages starts a fleet, makes it lose its head, and returns the messages per daemon and second until a
// head acts again, and the length of that period.
func leaderlessMessages(
	t *testing.T,
	seed int64,
	shape Shape,
	lose func(world *World, head *Host),
) (rate float64, leaderless time.Duration) {
	t.Helper()
	world := NewDeployment(seed, shape)
	world.Run(20 * time.Second)
	head := leader(world)
	if head == nil {
		t.Fatalf("seed %d: no head after 20 s", seed)
	}
	if acceptors := len(head.core.node.View().Acceptors); acceptors != 3 {
		t.Fatalf("seed %d: %d acceptors, want 3", seed, acceptors)
	}
	messages := 0
	world.network.Metrics = func(from, to *Host, _ string, _ int) {
		if from.core == nil {
			messages++
		}
		if to != nil && to.Up() && to.core == nil {
			messages++
		}
	}
	lose(world, head)
	lost := world.Now
	for leader(world) == nil && world.Now.Sub(lost) < maximumLeaderless && len(world.Check.Violations) == 0 {
		world.Run(10 * time.Millisecond)
	}
	if len(world.Check.Violations) > 0 {
		t.Fatalf("seed %d: %v", seed, world.Check.Violations)
	}
	leaderless = world.Now.Sub(lost)
	return float64(messages) / leaderless.Seconds() / float64(len(world.Daemons())), leaderless
}

// The messages that a daemon sends and receives while no head acts do not grow with the fleet: they depend on the
// number of acceptors only.
func TestSilentHeadMessages(t *testing.T) {
	t.Parallel()
	losses := map[string]func(world *World, head *Host){
		"the head loses its power": func(_ *World, head *Host) { head.PowerOff() },
		"all cores lose their power": func(world *World, _ *Host) {
			for _, host := range world.Cores() {
				host.PowerOff()
			}
		},
	}
	for name, lose := range losses {
		for seed := int64(1); seed <= 3; seed++ {
			rates := make([]float64, 0, len(smallAndLargeShapes))
			for _, shape := range smallAndLargeShapes {
				rate, leaderless := leaderlessMessages(t, seed, shape, lose)
				t.Logf("%s, seed %d, %d daemons: %.1f messages a daemon and second over %v without a head", name, seed,
					sum(shape.Machines), rate, leaderless)
				if leaderless < minimumLeaderless {
					t.Errorf("%s, seed %d: a head acted after %v; that is too soon to count", name, seed, leaderless)
				}
				if rate > leaderlessMessageBound {
					t.Errorf("%s, seed %d: %.1f messages a daemon and second among %d; at most %d", name, seed, rate,
						sum(shape.Machines), leaderlessMessageBound)
				}
				rates = append(rates, rate)
			}
			if rates[1] > rates[0]*leaderlessGrowthBound {
				t.Errorf("%s, seed %d: %.1f messages a daemon and second among 12, %.1f among 80", name, seed, rates[0],
					rates[1])
			}
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
