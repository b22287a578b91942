package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

// tokensPerPart is the number of tokens of each part of a test prompt.
const tokensPerPart = 1000

// fixture is a scheduler with its own load table; its snapshots contain every runner of the table.
type fixture struct {
	*Scheduler
	table   *load.Table
	indexer *kvblock.Indexer
	runners []*wire.Runner
	now     time.Time
}

// newFixture returns a scheduler with that many ready runners, r00, r01 and so on. Index events are applied
// synchronously.
func newFixture(t *testing.T, runners int) *fixture {
	t.Helper()
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, 100_000, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	created := &fixture{table: load.NewTable(started, "d1"), indexer: indexer, now: started}
	for number := range runners {
		created.runners = append(created.runners, &wire.Runner{
			RunnerId: fmt.Sprintf("r%02d", number),
			Address:  "x",
			Zone:     "a",
			Service:  "s",
			State:    "ready",
		})
	}
	created.table.UpdateListing(started, created.runners)
	created.Scheduler = NewScheduler(func(now time.Time) Snapshot {
		return Snapshot{Runners: created.table.Runners(now, []string{"d1"}), Daemons: 1}
	}, created.table, indexer, rand.New(rand.NewSource(1)))
	return created
}

// request returns a request whose prompt has these parts, of tokensPerPart tokens each, and 100 more tokens.
func (fixture *fixture) request(
	route string, value, concurrencyLimit float64, latencyTarget time.Duration, parts ...string,
) *QueuedRequest {
	tokens := make([]int, len(parts))
	for index := range parts {
		tokens[index] = tokensPerPart
	}
	return &QueuedRequest{
		Route:            route,
		ConcurrencyLimit: concurrencyLimit,
		Keys:             fixture.indexer.Processor.BlockKeys(parts, kvblock.Extra{}),
		PartTokens:       tokens,
		Decisions:        make(chan Decision, 1),
		Requirements: Requirements{
			Value:           value,
			LatencyTarget:   latencyTarget,
			PromptTokens:    tokensPerPart*len(parts) + 100,
			Zone:            "a",
			ExcludedRunners: map[string]bool{},
		},
	}
}

// schedule schedules a request, and records a dispatched one as sent. It returns the decision, and whether the
// scheduler decided at once.
func (fixture *fixture) schedule(request *QueuedRequest) (Decision, bool) {
	fixture.Schedule(fixture.now, request)
	select {
	case decision := <-request.Decisions:
		if decision.Kind == Dispatch {
			fixture.RequestSent(fixture.now, request, decision)
		}
		return decision, true
	default:
		return Decision{}, false
	}
}

// fleetOf returns that many usable runners, r000, r001 and so on.
func fleetOf(count int) []load.Runner {
	runners := make([]load.Runner, 0, count)
	for number := range count {
		runners = append(runners, load.Runner{ID: fmt.Sprintf("r%03d", number), Usable: true})
	}
	return runners
}
