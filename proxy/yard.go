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
	"wardtray/coordination/quota"
	"wardtray/dataplane/controller"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// Yard is what lives as long as the process and every course uses.
type Yard struct {
	Name  string
	Zone  string
	World netio.World
	// Speech is how requesters and runners speak.
	Speech codec.Speech
	// Await waits for the next step of a ticket; it tells whether that came before the context ended.
	Await    func(ctx context.Context, steps <-chan scheduler.Step) (step scheduler.Step, decided bool)
	Snapshot func() *controller.Snapshot
	// Renewed gives a channel that is closed when a later snapshot may be relied on for longer.
	Renewed func() <-chan struct{}
	Daemons func() []string
	Book    *load.Book
	Indexer *kvblock.Indexer
	Links   *connpool.Links
	Tally   *metrics.Tally
	// Desk gives the desk of a pool.
	Desk func(pool string) *scheduler.Desk
	// Once remembers requests that run at most once; Tell tells the zone's other daemons of them.
	Once *dedup.Memory
	Tell func(key dedup.Key, dropped bool)
	// Quota holds this daemon's shares of the tenants' quotas; AskQuota asks for more at once.
	Quota    *quota.Holder
	AskQuota func()
	// Without names the mechanisms that are switched off.
	Without features.Set
	// Repeats bounds what is sent again; the zero value stands for retrybudget.Default.
	Repeats retrybudget.Settings

	// Begun is when the process began.
	Begun    time.Time
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

func (yard *Yard) budget(pool string) *lockedBudget {
	found, known := yard.budgets.Load(pool)
	if !known {
		found, _ = yard.budgets.LoadOrStore(pool, &lockedBudget{budget: retrybudget.New(yard.Repeats, func() int { return len(yard.Daemons()) })})
	}
	return found.(*lockedBudget)
}

// Explain tells what would happen to a request, and passes it nowhere.
func (yard *Yard) Explain(requester netio.Requester) {
	course := &Course{yard: yard, requester: requester, state: reading, begun: yard.World.Now(), ctx: context.Background()}
	if err := course.read(); err != nil {
		found := apierror.Of(err)
		yard.Speech.Refuse(requester, course.request, codec.Refusal{Kind: found.Kind, Detail: found.Detail, Ran: scheduler.DidNotRun, DidNotRun: true})
		return
	}
	quotes, step := course.desk.Explain(course.begun, course.ticket)
	content, err := json.Marshal(map[string]any{"step": step, "quotes": quotes, "prices": course.desk.Prices(), "bid": course.ticket.Bid})
	if err != nil {
		yard.Speech.Refuse(requester, course.request, codec.Refusal{Kind: apierror.Internal, Detail: err.Error(), Ran: scheduler.DidNotRun, DidNotRun: true})
		return
	}
	requester.Answer(200, []netio.Header{{Name: "Content-Type", Value: "application/json"}}, content)
}
