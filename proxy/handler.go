package proxy

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/quota"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// Handler is what lives as long as the process and every course uses.
type Handler struct {
	Name        string
	Zone        string
	Environment netio.Environment
	// Codec is how clients and runners speak.
	Codec codec.Codec
	// Await waits for the next step of a ticket; it tells whether that came before the context ended.
	Await    func(ctx context.Context, steps <-chan scheduler.Decision) (step scheduler.Decision, decided bool)
	Snapshot func() *config.Snapshot
	// Renewed gives a channel that is closed when a later snapshot may be relied on for longer.
	Renewed     func() <-chan struct{}
	Daemons     func() []string
	Loads       *load.Table
	Indexer     *kvblock.Indexer
	Connections *connpool.Pool
	Metrics     *metrics.Registry
	// Scheduler gives the scheduler of a backend.
	Scheduler func(backend string) *scheduler.Scheduler
	// Once remembers requests that run at most once; Tell tells the zone's other daemons of them.
	Once *dedup.Table
	Tell func(key dedup.Key, dropped bool)
	// Quota holds this daemon's shares of the tenants' quotas; AskQuota asks for more at once.
	Quota    *quota.Limiter
	AskQuota func()
	// Without names the mechanisms that are switched off.
	Without features.Set
	// Retries bounds what is sent again; the zero value stands for retrybudget.Default.
	Retries retrybudget.Settings

	// Started is when the process began.
	Started  time.Time
	InFlight atomic.Int64
	// Draining says that a planned stop has begun, Stopping that nothing more is taken; StopBy is when the process ends,
	// where that is known.
	Draining, Stopping atomic.Bool
	StopBy             atomic.Pointer[time.Time]
	budgets            sync.Map
}

type lockedBudget struct {
	mutex  sync.Mutex
	budget *retrybudget.Budget
}

func (handler *Handler) budget(backend string) *lockedBudget {
	found, known := handler.budgets.Load(backend)
	if !known {
		found, _ = handler.budgets.LoadOrStore(backend, &lockedBudget{budget: retrybudget.New(handler.Retries, func() int { return len(handler.Daemons()) })})
	}
	return found.(*lockedBudget)
}

// Explain tells what would happen to a request, and passes it nowhere.
func (handler *Handler) Explain(client netio.Client) {
	exchange := &Exchange{handler: handler, client: client, state: reading, started: handler.Environment.Now(), ctx: context.Background()}
	if err := exchange.read(); err != nil {
		found := apierror.Of(err)
		handler.Codec.Refuse(client, exchange.request, codec.Refusal{Kind: found.Code, Detail: found.Detail, Ran: scheduler.DidNotRun, DidNotRun: true})
		return
	}
	quotes, step := exchange.scheduler.Explain(exchange.started, exchange.queuedRequest)
	content, err := json.Marshal(map[string]any{"step": step, "quotes": quotes, "prices": exchange.scheduler.CostWeights(), "bid": exchange.queuedRequest.Requirements})
	if err != nil {
		handler.Codec.Refuse(client, exchange.request, codec.Refusal{Kind: apierror.Internal, Detail: err.Error(), Ran: scheduler.DidNotRun, DidNotRun: true})
		return
	}
	client.Answer(200, []netio.Header{{Name: "Content-Type", Value: "application/json"}}, content)
}
