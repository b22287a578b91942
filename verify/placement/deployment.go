package placement

import (
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// Draws are sizes that are drawn: log-normal about a mean.
type Draws struct{ Mean, Spread, Most float64 }

func (draws Draws) draw(random *rand.Rand) int {
	value := draws.Mean * math.Exp(draws.Spread*random.NormFloat64()-draws.Spread*draws.Spread/2)
	return int(max(1, min(value, draws.Most)))
}

// Shared is a part of prompts that many share.
type Shared struct {
	Tokens Draws
	// Items is how many different ones there are; the more popular are so by Skew.
	Items int
	Skew  float64
}

// RouteWork is one route's work.
type RouteWork struct {
	Name                           string
	Rate                           float64
	LatencyTarget, Deadline, Pause time.Duration
	// Value is for an answer within the aim, Late for a later one.
	Value, Late float64
	Rank        int
	Prompt      Draws
	Events      Draws
	Chain       []Shared
}

// Deployment is a fleet with its engines and its work.
type Deployment struct {
	Zones, Daemons, Runners, Clients int
	Engine                           Figures
	Routes                           []RouteWork
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

func assistant(
	survey, confirm float64,
	things, names, events int,
	stride float64,
	surveyLatencyTarget, confirmLatencyTarget time.Duration,
	deadline time.Duration,
	late float64,
	pause time.Duration,
) []RouteWork {
	return []RouteWork{
		{
			Name:          "survey",
			Rate:          survey,
			LatencyTarget: surveyLatencyTarget,
			Deadline:      deadline,
			Pause:         pause,
			Value:         2,
			Late:          2 * late,
			Rank:          1,
			Prompt:        Draws{6610, 1.4, 54600},
			Events:        Draws{float64(events), 0.44, 3 * float64(events)},
			Chain:         []Shared{{Draws{512, 0.4, 1280}, 3, 0}, {Draws{4870, 0.7, 14600}, things, 0.3}},
		},
		{
			Name:          "confirm",
			Rate:          confirm,
			LatencyTarget: confirmLatencyTarget,
			Deadline:      3 * time.Second,
			Pause:         pause,
			Value:         3,
			Late:          3 * late,
			Prompt:        Draws{1800, 1.3, 6870},
			Events:        Draws{22.5 / stride, 1.4, 90 / stride},
			Chain:         []Shared{{Draws{341, 0.4, 851}, 20, 0}, {Draws{227, 0.7, 681}, names, 0.3}},
		},
	}
}

func batching(slots, memory, stride int, step, tokensPerMS float64) Figures {
	return Figures{
		Slots:        slots,
		Queue:        3 * slots,
		Step:         milliseconds(step),
		PerSlot:      milliseconds(0.000767),
		PerContext:   milliseconds(0.00857),
		PerToken:     milliseconds(1 / tokensPerMS),
		PerPairs:     milliseconds(0.647),
		Stride:       stride,
		Chunk:        2048,
		MemoryTokens: memory,
		ReportLag:    100 * time.Millisecond,
	}
}

// DeploymentNames returns the names of Deployments in order.
func DeploymentNames() []string { return slices.Sorted(maps.Keys(Deployments)) }

// Deployments are the two fleets, small and grown, and engines of other kinds.
var Deployments = map[string]Deployment{
	"guild": {Zones: 4, Daemons: 9, Runners: 18, Clients: 57, Engine: batching(64, 678_399, 5, 3.82, 68.2),
		Routes: assistant(30.6, 118, 140, 800, 76, 5, 800*time.Millisecond, 400*time.Millisecond, 15*time.Second, 0.1,
			300*time.Millisecond)},
	"ferries": {Zones: 3, Daemons: 12, Runners: 12, Clients: 31, Engine: batching(48, 529_555, 4, 4.23, 64.2),
		Routes: assistant(13.7, 68.5, 77, 258, 96, 4, time.Second, 500*time.Millisecond, 20*time.Second, 0.3,
			300*time.Millisecond)},
	"ferries-grown": {Zones: 4, Daemons: 93, Runners: 60, Clients: 151, Engine: batching(48, 437_005, 6, 4.23, 64.2),
		Routes: assistant(68.6, 343, 388, 1293, 64, 6, time.Second, 500*time.Millisecond, 20*time.Second, 0.3,
			400*time.Millisecond)},
	"guild-grown": {Zones: 4, Daemons: 72, Runners: 80, Clients: 200, Engine: batching(64, 600_000, 5, 3.82, 68.2),
		Routes: assistant(130, 628, 490, 3500, 76, 5, 800*time.Millisecond, 400*time.Millisecond, 15*time.Second, 0.1,
			300*time.Millisecond)},
	// Engines a third as fast with few slots, under a third of the work.
	"slow-engines": {Zones: 3, Daemons: 6, Runners: 16, Clients: 40, Engine: batching(12, 150_000, 4, 12, 22),
		Routes: assistant(7, 32, 60, 200, 40, 4, 2*time.Second, time.Second, 20*time.Second, 0.3,
			600*time.Millisecond)},
}
