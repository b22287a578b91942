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
	// indexedBlocks is the capacity of a daemon's prefix index, in blocks.
	indexedBlocks = 100_000
	// rebalancePeriod is the interval at which daemons reschedule their queued requests.
	rebalancePeriod = 20 * time.Millisecond
)

// Values in the entries of the runner list.
const (
	runnerService  = "s"
	runnerReady    = "ready"
	runnerDraining = "draining"
)

// daemon holds the parts of a data daemon that place requests: the product's scheduler, load table, prefix index and
// retry budget. Requests enter through schedule; the simulations call the scheduler and the table as the proxy does.
type daemon struct {
	zone      string
	table     *load.Table
	scheduler *scheduler.Scheduler
	budget    *retrybudget.Budget
	pending   []pendingRequest
}

// pendingRequest is a request without a decision, and the callback for the decision.
type pendingRequest struct {
	queued  *scheduler.QueuedRequest
	decided func(decision scheduler.Decision)
}

// daemonSettings are the common settings of the daemons of a simulation.
type daemonSettings struct {
	count int
	// zones are assigned to the daemons in turn.
	zones []string
	// listing is the initial runner list of all daemons.
	listing []*wire.Runner
	// backend is the configuration of the runners.
	backend config.Backend
	// policy is a key of policies.
	policy string
	// budget creates the retry budget of a daemon.
	budget func() *retrybudget.Budget
}

// newDaemons creates daemons; random supplies the seeds of their schedulers.
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
		created := &daemon{
			zone:   settings.zones[number%len(settings.zones)],
			table:  load.NewTable(now, name),
			budget: settings.budget(),
		}
		created.table.UpdateListing(now, settings.listing)
		snapshot := func(now time.Time) scheduler.Snapshot {
			return scheduler.Snapshot{
				Runners: created.table.Runners(now, names),
				Daemons: len(names),
				Backend: settings.backend,
			}
		}
		created.scheduler = scheduler.NewScheduler(snapshot, created.table, indexer, rand.New(rand.NewSource(random.Int63())))
		created.scheduler.Picker = policies[settings.policy]
		daemons = append(daemons, created)
	}
	return daemons, nil
}

// schedule passes a request to the scheduler, and calls decided with the decision as soon as there is one.
func (daemon *daemon) schedule(
	now time.Time,
	queued *scheduler.QueuedRequest,
	decided func(decision scheduler.Decision),
) {
	daemon.pending = append(daemon.pending, pendingRequest{queued: queued, decided: decided})
	daemon.scheduler.Schedule(now, queued)
	daemon.deliverDecisions()
}

// deliverDecisions delivers the scheduler's pending decisions. The callbacks may schedule requests themselves.
func (daemon *daemon) deliverDecisions() {
	pending := daemon.pending
	daemon.pending = nil
	for _, request := range pending {
		select {
		case decision := <-request.queued.Decisions:
			request.decided(decision)
		default:
			daemon.pending = append(daemon.pending, request)
		}
	}
}

// release ends a request that was dispatched to a runner, and delivers the decisions that become possible.
func (daemon *daemon) release(now time.Time, queued *scheduler.QueuedRequest, runner string) {
	daemon.scheduler.Release(now, queued, runner)
	daemon.deliverDecisions()
}

// rebalancePeriodically makes daemons reschedule their queued requests, now and after each rebalancePeriod.
func rebalancePeriodically(world *simulation.World, daemons []*daemon) {
	for _, daemon := range daemons {
		if daemon.scheduler.HasQueued() {
			daemon.scheduler.Rebalance(world.Now)
			daemon.deliverDecisions()
		}
	}
	world.After(rebalancePeriod, func() { rebalancePeriodically(world, daemons) })
}

// blockKeys derives the keys of prompt blocks, with the seed that all daemons share.
var blockKeys = kvblock.NewTokenProcessor(kvblock.DefaultSeed)

// prompt holds the names and the numbers of tokens of the parts of a prompt that caches can hold.
type prompt struct {
	parts  []string
	tokens []int
}

// newPrompt returns the prompt with the parts of a mix's request.
func newPrompt(parts []loadtest.Part) (created prompt) {
	for _, part := range parts {
		created.parts, created.tokens = append(created.parts, part.Name), append(created.tokens, part.Tokens)
	}
	return created
}

// newQueuedRequest returns a request of a route in the form in which the proxy passes it to the scheduler.
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
