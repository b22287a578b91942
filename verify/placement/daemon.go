package placement

import (
	"fmt"
	"math/rand"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/verify/loadtest"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

const (
	// indexedBlocks is how many blocks a daemon's index of the runners' caches holds.
	indexedBlocks = 100_000
	// rebalancePeriod is how often daemons look at their queued requests anew.
	rebalancePeriod = 20 * time.Millisecond
)

// Words of the runner list.
const (
	runnerService  = "s"
	runnerReady    = "ready"
	runnerDraining = "draining"
)

// daemon is what a data daemon has for placement: the product's own scheduler, load table, prefix index and retry
// budget. Requests enter by schedule; whoever dispatched one calls the scheduler and the table as the proxy does.
type daemon struct {
	zone      string
	table     *load.Table
	scheduler *scheduler.Scheduler
	budget    *retrybudget.Budget
	pending   []pendingRequest
}

// pendingRequest is a request without a decision, and who gets it.
type pendingRequest struct {
	queued  *scheduler.QueuedRequest
	decided func(decision scheduler.Decision)
}

// daemonSettings are common to the daemons of a simulation.
type daemonSettings struct {
	count int
	// zones are given to the daemons in turn.
	zones []string
	// listing are the runners that all daemons know at first.
	listing []*wire.Runner
	// backend is what the configuration says of the runners.
	backend config.Backend
	// policy is a key of policies.
	policy string
	budget func() *retrybudget.Budget
}

// newDaemons makes daemons whose schedulers draw from seeds of random.
func newDaemons(now time.Time, settings daemonSettings, random *rand.Rand) ([]*daemon, error) {
	names := make([]string, settings.count)
	for number := range names {
		names[number] = fmt.Sprint("d", number)
	}
	daemons := make([]*daemon, 0, settings.count)
	for number, name := range names {
		indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, indexedBlocks, kvblock.DefaultRunners, 0)
		if err != nil {
			return nil, err
		}
		made := &daemon{
			zone:   settings.zones[number%len(settings.zones)],
			table:  load.NewTable(now, name),
			budget: settings.budget(),
		}
		made.table.UpdateListing(now, settings.listing)
		snapshot := func(now time.Time) scheduler.Snapshot {
			return scheduler.Snapshot{
				Runners: made.table.Runners(now, names),
				Daemons: len(names),
				Backend: settings.backend,
			}
		}
		made.scheduler = scheduler.NewScheduler(snapshot, made.table, indexer, rand.New(rand.NewSource(random.Int63())))
		made.scheduler.Picker = policies[settings.policy]
		daemons = append(daemons, made)
	}
	return daemons, nil
}

// schedule gives a request to the scheduler; decided gets the decision as soon as there is one.
func (daemon *daemon) schedule(
	now time.Time,
	queued *scheduler.QueuedRequest,
	decided func(decision scheduler.Decision),
) {
	daemon.pending = append(daemon.pending, pendingRequest{queued: queued, decided: decided})
	daemon.scheduler.Schedule(now, queued)
	daemon.deliverDecisions()
}

// deliverDecisions passes on whatever the scheduler has decided. What gets a decision may schedule requests itself.
func (daemon *daemon) deliverDecisions() {
	pending := daemon.pending
	daemon.pending = nil
	for _, one := range pending {
		select {
		case decision := <-one.queued.Decisions:
			one.decided(decision)
		default:
			daemon.pending = append(daemon.pending, one)
		}
	}
}

// release ends a request that was dispatched to a runner, and passes on what that lets the scheduler decide.
func (daemon *daemon) release(now time.Time, queued *scheduler.QueuedRequest, runner string) {
	daemon.scheduler.Release(now, queued, runner)
	daemon.deliverDecisions()
}

// rebalancePeriodically lets daemons look at their queued requests anew, from now on.
func rebalancePeriodically(world *simulation.World, daemons []*daemon) {
	for _, daemon := range daemons {
		if daemon.scheduler.HasQueued() {
			daemon.scheduler.Rebalance(world.Now)
			daemon.deliverDecisions()
		}
	}
	world.After(rebalancePeriod, func() { rebalancePeriodically(world, daemons) })
}

// blockKeys derives the keys of prompt blocks, by the seed that all daemons share.
var blockKeys = kvblock.NewTokenProcessor(kvblock.DefaultSeed)

// prompt is the parts of a prompt that caches can hold: a name and a number of tokens for each.
type prompt struct {
	parts  []string
	tokens []int
}

// newPrompt returns a prompt of the parts of a mix's request.
func newPrompt(parts []loadtest.Part) (made prompt) {
	for _, part := range parts {
		made.parts, made.tokens = append(made.parts, part.Name), append(made.tokens, part.Tokens)
	}
	return made
}

// newQueuedRequest makes a request of a route as the proxy gives it to the scheduler.
func newQueuedRequest(
	route string,
	concurrencyLimit float64,
	prompt prompt,
	model string,
	requirements scheduler.Requirements,
) *scheduler.QueuedRequest {
	requirements.ExcludedRunners = map[string]bool{}
	return &scheduler.QueuedRequest{
		Route:            route,
		ConcurrencyLimit: concurrencyLimit,
		Decisions:        make(chan scheduler.Decision, 1),
		PartTokens:       prompt.tokens,
		Keys:             blockKeys.BlockKeys(prompt.parts, kvblock.Extra{Model: model}),
		Requirements:     requirements,
	}
}
