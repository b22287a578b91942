package placement

import (
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// Draws are sizes that are drawn: log-normal about a mean, of at most Most. Spread is the standard deviation of the
// logarithm.
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
	Name string
	// Rate is how many requests arrive a second over the whole fleet.
	Rate float64
	// LatencyTarget is for the first event, Deadline for the last. Pause is the longest time between two events of an
	// answer that is in time.
	LatencyTarget, Deadline, Pause time.Duration
	// Value is for an answer in time, Late for a later one.
	Value, Late float64
	// Rank orders routes under load, 0 first.
	Rank int
	// Prompt are the tokens of the own part of a prompt, Events the events of an answer.
	Prompt Draws
	Events Draws
	// Chain are the shared parts of prompts, from the first on.
	Chain []Shared
}

// Deployment is a fleet with its engines and its work.
type Deployment struct {
	// Daemons, Runners and Clients are given to the zones in turn.
	Zones, Daemons, Runners, Clients int
	Engine                           Figures
	Routes                           []RouteWork
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// assistantWork is what differs between the deployments of an assistant: its survey and confirm routes.
type assistantWork struct {
	// surveyRate and confirmRate are requests a second over the whole fleet.
	surveyRate, confirmRate float64
	// things and names are how many items the last shared parts of surveys and confirmations have.
	things, names int
	// events is the mean number of events of a survey, stride the tokens of an event.
	events int
	stride float64
	// The latency targets, and the deadline of surveys.
	surveyTarget, confirmTarget, surveyDeadline time.Duration
	// late is the part (0 to 1) of its value that a late answer still has.
	late  float64
	pause time.Duration
}

// routes returns the work as routes.
func (work assistantWork) routes() []RouteWork {
	events := float64(work.events)
	return []RouteWork{
		{
			Name:          "survey",
			Rate:          work.surveyRate,
			LatencyTarget: work.surveyTarget,
			Deadline:      work.surveyDeadline,
			Pause:         work.pause,
			Value:         2,
			Late:          2 * work.late,
			Rank:          1,
			Prompt:        Draws{6610, 1.4, 54600},
			Events:        Draws{events, 0.44, 3 * events},
			Chain:         []Shared{{Draws{512, 0.4, 1280}, 3, 0}, {Draws{4870, 0.7, 14600}, work.things, 0.3}},
		},
		{
			Name:          "confirm",
			Rate:          work.confirmRate,
			LatencyTarget: work.confirmTarget,
			Deadline:      3 * time.Second,
			Pause:         work.pause,
			Value:         3,
			Late:          3 * work.late,
			Prompt:        Draws{1800, 1.3, 6870},
			Events:        Draws{22.5 / work.stride, 1.4, 90 / work.stride},
			Chain:         []Shared{{Draws{341, 0.4, 851}, 20, 0}, {Draws{227, 0.7, 681}, work.names, 0.3}},
		},
	}
}

// batching returns the figures of an engine: step is the milliseconds of an empty step, tokensPerMS the prompt tokens
// that it reads in a millisecond.
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
	"guild": {
		Zones:   4,
		Daemons: 9,
		Runners: 18,
		Clients: 57,
		Engine:  batching(64, 678_399, 5, 3.82, 68.2),
		Routes: assistantWork{
			surveyRate:     30.6,
			confirmRate:    118,
			things:         140,
			names:          800,
			events:         76,
			stride:         5,
			surveyTarget:   800 * time.Millisecond,
			confirmTarget:  400 * time.Millisecond,
			surveyDeadline: 15 * time.Second,
			late:           0.1,
			pause:          300 * time.Millisecond,
		}.routes(),
	},
	"ferries": {
		Zones:   3,
		Daemons: 12,
		Runners: 12,
		Clients: 31,
		Engine:  batching(48, 529_555, 4, 4.23, 64.2),
		Routes: assistantWork{
			surveyRate:     13.7,
			confirmRate:    68.5,
			things:         77,
			names:          258,
			events:         96,
			stride:         4,
			surveyTarget:   time.Second,
			confirmTarget:  500 * time.Millisecond,
			surveyDeadline: 20 * time.Second,
			late:           0.3,
			pause:          300 * time.Millisecond,
		}.routes(),
	},
	"ferries-grown": {
		Zones:   4,
		Daemons: 93,
		Runners: 60,
		Clients: 151,
		Engine:  batching(48, 437_005, 6, 4.23, 64.2),
		Routes: assistantWork{
			surveyRate:     68.6,
			confirmRate:    343,
			things:         388,
			names:          1293,
			events:         64,
			stride:         6,
			surveyTarget:   time.Second,
			confirmTarget:  500 * time.Millisecond,
			surveyDeadline: 20 * time.Second,
			late:           0.3,
			pause:          400 * time.Millisecond,
		}.routes(),
	},
	"guild-grown": {
		Zones:   4,
		Daemons: 72,
		Runners: 80,
		Clients: 200,
		Engine:  batching(64, 600_000, 5, 3.82, 68.2),
		Routes: assistantWork{
			surveyRate:     130,
			confirmRate:    628,
			things:         490,
			names:          3500,
			events:         76,
			stride:         5,
			surveyTarget:   800 * time.Millisecond,
			confirmTarget:  400 * time.Millisecond,
			surveyDeadline: 15 * time.Second,
			late:           0.1,
			pause:          300 * time.Millisecond,
		}.routes(),
	},
	// Engines a third as fast with few slots, under a third of the work.
	"slow-engines": {
		Zones:   3,
		Daemons: 6,
		Runners: 16,
		Clients: 40,
		Engine:  batching(12, 150_000, 4, 12, 22),
		Routes: assistantWork{
			surveyRate:     7,
			confirmRate:    32,
			things:         60,
			names:          200,
			events:         40,
			stride:         4,
			surveyTarget:   2 * time.Second,
			confirmTarget:  time.Second,
			surveyDeadline: 20 * time.Second,
			late:           0.3,
			pause:          600 * time.Millisecond,
		}.routes(),
	},
}
