package simulation

import (
	"testing"
	"time"
)

const (
	// headlessMessageBound bounds the messages a second that a daemon sends and receives while no head acts: questions
	// to three acceptors and their answers, the search for the next head, and what a quiet second costs.
	headlessMessageBound = 60
	// headlessGrowthBound bounds by how much that may differ between a small fleet and a large one.
	headlessGrowthBound = 1.25
	// minimumHeadless is how long no head must have acted for the figure to say something.
	minimumHeadless = 500 * time.Millisecond
	// maximumHeadless is up to when the messages are counted where no head can come.
	maximumHeadless = 5 * time.Second
)

// smallAndLargeShapes are fleets with the same three acceptors.
var smallAndLargeShapes = []Shape{
	{Zones: []string{"a", "b", "c"}, Machines: []int{4, 4, 4}, Disks: []int{1, 1, 1}, Faults: 1},
	{Zones: []string{"a", "b", "c"}, Machines: []int{27, 27, 26}, Disks: []int{1, 1, 1}, Faults: 1},
}

// leader returns the core that acts as head, or nil.
func leader(world *World) *Host {
	for _, host := range world.Cores() {
		if host.Up() && host.core.node.IsLeading(host.local()) {
			return host
		}
	}
	return nil
}

// headlessMessages founds a fleet, takes the power from cores until it has no head, and returns the messages a
// daemon and second until a head acts again, and for how long there was none.
func headlessMessages(
	t *testing.T,
	seed int64,
	shape Shape,
	lose func(world *World, head *Host),
) (rate float64, headless time.Duration) {
	t.Helper()
	world := Found(seed, shape)
	world.Run(20 * time.Second)
	head := leader(world)
	if head == nil {
		t.Fatalf("seed %d: no head after 20 s", seed)
	}
	if acceptors := len(head.core.node.View().Acceptors); acceptors != 3 {
		t.Fatalf("seed %d: %d keepers, the comparison wants 3", seed, acceptors)
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
	for leader(world) == nil && world.Now.Sub(lost) < maximumHeadless && len(world.Check.Violations) == 0 {
		world.Run(10 * time.Millisecond)
	}
	if len(world.Check.Violations) > 0 {
		t.Fatalf("seed %d: %v", seed, world.Check.Violations)
	}
	headless = world.Now.Sub(lost)
	return float64(messages) / headless.Seconds() / float64(len(world.Datas())), headless
}

// What a daemon sends and receives while no head acts does not grow with the fleet: it depends on the number of
// acceptors alone.
func TestSilentHeadMessages(t *testing.T) {
	t.Parallel()
	losses := map[string]func(world *World, head *Host){
		"the head loses its power": func(_ *World, head *Host) { head.Power() },
		"all cores lose their power": func(world *World, _ *Host) {
			for _, host := range world.Cores() {
				host.Power()
			}
		},
	}
	for name, lose := range losses {
		for seed := int64(1); seed <= 3; seed++ {
			rates := make([]float64, 0, len(smallAndLargeShapes))
			for _, shape := range smallAndLargeShapes {
				rate, headless := headlessMessages(t, seed, shape, lose)
				t.Logf("%s, seed %d, %d daemons: %.1f messages a daemon and second over %v without a head", name, seed,
					sum(shape.Machines), rate, headless)
				if headless < minimumHeadless {
					t.Errorf("%s, seed %d: a head acted after %v; that is too soon to count", name, seed, headless)
				}
				if rate > headlessMessageBound {
					t.Errorf("%s, seed %d: %.1f messages a daemon and second among %d; at most %d", name, seed, rate,
						sum(shape.Machines), headlessMessageBound)
				}
				rates = append(rates, rate)
			}
			if rates[1] > rates[0]*headlessGrowthBound {
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
