package course

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"wardtray/coordination/quota"
	"wardtray/edge/director"
	"wardtray/process/budget"
	"wardtray/process/fault"
	"wardtray/process/kvblock"
	"wardtray/process/mechanism"
	"wardtray/process/once"
	"wardtray/process/pressure"
	"wardtray/process/tally"
	"wardtray/request/award"
	"wardtray/request/speech"
	"wardtray/transport/link"
	"wardtray/transport/seam"
)

// Yard is what lives as long as the process and every course uses.
type Yard struct {
	Name  string
	Zone  string
	World seam.World
	// Speech is how requesters and runners speak.
	Speech speech.Speech
	// Await waits for the next step of a ticket; it tells whether that came before the context ended.
	Await    func(ctx context.Context, steps <-chan award.Step) (step award.Step, decided bool)
	Snapshot func() *director.Snapshot
	// Renewed gives a channel that is closed when a later snapshot may be relied on for longer.
	Renewed func() <-chan struct{}
	Daemons func() []string
	Book    *pressure.Book
	Indexer *kvblock.Indexer
	Links   *link.Links
	Tally   *tally.Tally
	// Desk gives the desk of a pool.
	Desk func(pool string) *award.Desk
	// Once remembers requests that run at most once; Tell tells the zone's other daemons of them.
	Once *once.Memory
	Tell func(key once.Key, dropped bool)
	// Quota holds this daemon's shares of the tenants' quotas; AskQuota asks for more at once.
	Quota    *quota.Holder
	AskQuota func()
	// Without names the mechanisms that are switched off.
	Without mechanism.Set
	// Repeats bounds what is sent again; the zero value stands for budget.Default.
	Repeats budget.Settings

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
	budget *budget.Budget
}

func (yard *Yard) budget(pool string) *lockedBudget {
	found, known := yard.budgets.Load(pool)
	if !known {
		found, _ = yard.budgets.LoadOrStore(pool, &lockedBudget{budget: budget.New(yard.Repeats, func() int { return len(yard.Daemons()) })})
	}
	return found.(*lockedBudget)
}

// Explain tells what would happen to a request, and passes it nowhere.
func (yard *Yard) Explain(requester seam.Requester) {
	course := &Course{yard: yard, requester: requester, state: reading, begun: yard.World.Now(), ctx: context.Background()}
	if err := course.read(); err != nil {
		found := fault.Of(err)
		yard.Speech.Refuse(requester, course.request, speech.Refusal{Kind: found.Kind, Detail: found.Detail, Ran: award.DidNotRun, DidNotRun: true})
		return
	}
	quotes, step := course.desk.Explain(course.begun, course.ticket)
	content, err := json.Marshal(map[string]any{"step": step, "quotes": quotes, "prices": course.desk.Prices(), "bid": course.ticket.Bid})
	if err != nil {
		yard.Speech.Refuse(requester, course.request, speech.Refusal{Kind: fault.Internal, Detail: err.Error(), Ran: award.DidNotRun, DidNotRun: true})
		return
	}
	requester.Answer(200, []seam.Header{{Name: "Content-Type", Value: "application/json"}}, content)
}
