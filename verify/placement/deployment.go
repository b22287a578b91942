package placement

import (
	"maps"
	"math"
	"math/rand"
	"slices"
	"time"
)

// LogNormal is a log-normal distribution of sizes, truncated to values from 1 to Maximum. Sigma is the standard
// deviation of the logarithm.
type LogNormal struct{ Mean, Sigma, Maximum float64 }

func (distribution LogNormal) draw(random *rand.Rand) int {
	value := distribution.Mean * math.Exp(distribution.Sigma*random.NormFloat64()-distribution.Sigma*distribution.Sigma/2)
	return int(max(1, min(value, distribution.Maximum)))
}

// SharedPart describes a part of prompts that several prompts of a route share.
type SharedPart struct {
	Tokens LogNormal
	// Items is the number of different parts. The popularity of the item of rank n is proportional to n^-Skew.
	Items int
	Skew  float64
}

// RouteWorkload describes the requests of a route.
type RouteWorkload struct {
	Name string
	// Rate is the mean number of requests per second in the complete fleet.
	Rate float64
	// LatencyTarget limits the time to the first event, Deadline the time to the last. MaximumPause is the maximum time
	// between two events of an answer that is in time.
	LatencyTarget, Deadline, MaximumPause time.Duration
	// Value is the value of an answer in time, LateValue the value of a later one.
	Value, LateValue float64
	// Rank is the priority of the route under load; 0 is the highest.
	Rank int
	// Prompt is the number of tokens of a prompt's unique part, Events the number of events of an answer.
	Prompt LogNormal
	Events LogNormal
	// SharedParts holds the shared parts of prompts, in order.
	SharedParts []SharedPart
}

// Deployment describes a fleet, its engines and its workload.
type Deployment struct {
	// Daemons, Runners and Clients are assigned to the zones in turn.
	Zones, Daemons, Runners, Clients int
	Engine                           BatchProfile
	Routes                           []RouteWorkload
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// assistantWorkload parametrizes the workload of an assistant with the routes survey and confirm.
type assistantWorkload struct {
	// surveyRate and confirmRate are in requests per second in the complete fleet.
	surveyRate, confirmRate float64
	// surveyItems and confirmItems are the numbers of items of the last shared part of survey and confirm prompts.
	surveyItems, confirmItems int
	// events is the mean number of events of a survey answer, stride the number of tokens of an event.
	events int
	stride float64
	// The latency targets of both routes, and the deadline of the survey route.
	surveyTarget, confirmTarget, surveyDeadline time.Duration
	// lateShare is the share (0 to 1) of its value that a late answer retains.
	lateShare float64
	pause     time.Duration
}

// routes returns the workload of each route.
func (work assistantWorkload) routes() []RouteWorkload {
	events := float64(work.events)
	return []RouteWorkload{
		{
			Name:          "survey",
			Rate:          work.surveyRate,
			LatencyTarget: work.surveyTarget,
			Deadline:      work.surveyDeadline,
			MaximumPause:  work.pause,
			Value:         2,
			LateValue:     2 * work.lateShare,
			Rank:          1,
			Prompt:        LogNormal{6610, 1.4, 54600},
			Events:        LogNormal{events, 0.44, 3 * events},
			SharedParts:   []SharedPart{{LogNormal{512, 0.4, 1280}, 3, 0}, {LogNormal{4870, 0.7, 14600}, work.surveyItems, 0.3}},
		},
		{
			Name:          "confirm",
			Rate:          work.confirmRate,
			LatencyTarget: work.confirmTarget,
			Deadline:      3 * time.Second,
			MaximumPause:  work.pause,
			Value:         3,
			LateValue:     3 * work.lateShare,
			Prompt:        LogNormal{1800, 1.3, 6870},
			Events:        LogNormal{22.5 / work.stride, 1.4, 90 / work.stride},
			SharedParts:   []SharedPart{{LogNormal{341, 0.4, 851}, 20, 0}, {LogNormal{227, 0.7, 681}, work.confirmItems, 0.3}},
		},
	}
}

// batchProfile returns the profile of an engine: memory is in tokens, step is the base duration of a step in
// milliseconds, tokensPerMS the number of prompt tokens that the engine prefills per millisecond.
func batchProfile(slots, memory, stride int, step, tokensPerMS float64) BatchProfile {
	return BatchProfile{
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

// Deployments holds the guild and ferries fleets, each in a small and a grown version, and a fleet with slow engines.
var Deployments = map[string]Deployment{
	"guild": {
		Zones:   4,
		Daemons: 9,
		Runners: 18,
		Clients: 57,
		Engine:  batchProfile(64, 678_399, 5, 3.82, 68.2),
		Routes: assistantWorkload{
			surveyRate:     30.6,
			confirmRate:    118,
			surveyItems:    140,
			confirmItems:   800,
			events:         76,
			stride:         5,
			surveyTarget:   800 * time.Millisecond,
			confirmTarget:  400 * time.Millisecond,
			surveyDeadline: 15 * time.Second,
			lateShare:      0.1,
			pause:          300 * time.Millisecond,
		}.routes(),
	},
	"ferries": {
		Zones:   3,
		Daemons: 12,
		Runners: 12,
		Clients: 31,
		Engine:  batchProfile(48, 529_555, 4, 4.23, 64.2),
		Routes: assistantWorkload{
			surveyRate:     13.7,
			confirmRate:    68.5,
			surveyItems:    77,
			confirmItems:   258,
			events:         96,
			stride:         4,
			surveyTarget:   time.Second,
			confirmTarget:  500 * time.Millisecond,
			surveyDeadline: 20 * time.Second,
			lateShare:      0.3,
			pause:          300 * time.Millisecond,
		}.routes(),
	},
	"ferries-grown": {
		Zones:   4,
		Daemons: 93,
		Runners: 60,
		Clients: 151,
		Engine:  batchProfile(48, 437_005, 6, 4.23, 64.2),
		Routes: assistantWorkload{
			surveyRate:     68.6,
			confirmRate:    343,
			surveyItems:    388,
			confirmItems:   1293,
			events:         64,
			stride:         6,
			surveyTarget:   time.Second,
			confirmTarget:  500 * time.Millisecond,
			surveyDeadline: 20 * time.Second,
			lateShare:      0.3,
			pause:          400 * time.Millisecond,
		}.routes(),
	},
	"guild-grown": {
		Zones:   4,
		Daemons: 72,
		Runners: 80,
		Clients: 200,
		Engine:  batchProfile(64, 600_000, 5, 3.82, 68.2),
		Routes: assistantWorkload{
			surveyRate:     130,
			confirmRate:    628,
			surveyItems:    490,
			confirmItems:   3500,
			events:         76,
			stride:         5,
			surveyTarget:   800 * time.Millisecond,
			confirmTarget:  400 * time.Millisecond,
			surveyDeadline: 15 * time.Second,
			lateShare:      0.1,
			pause:          300 * time.Millisecond,
		}.routes(),
	},
	// Engines with a third of the speed and few slots, under less than a third of the request rate.
	"slow-engines": {
		Zones:   3,
		Daemons: 6,
		Runners: 16,
		Clients: 40,
		Engine:  batchProfile(12, 150_000, 4, 12, 22),
		Routes: assistantWorkload{
			surveyRate:     7,
			confirmRate:    32,
			surveyItems:    60,
			confirmItems:   200,
			events:         40,
			stride:         4,
			surveyTarget:   2 * time.Second,
			confirmTarget:  time.Second,
			surveyDeadline: 20 * time.Second,
			lateShare:      0.3,
			pause:          600 * time.Millisecond,
		}.routes(),
	},
}
