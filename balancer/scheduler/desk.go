package scheduler

import (
	"context"
	"math/rand"
	"sort"
	"sync"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/config"
	"wardtray/features"
)

// WaitlistLength bounds the prompts that wait at one daemon for one pool.
const WaitlistLength = 512

// Ticket is a request's place at the desk. Its owner reads Steps once; a ticket that was passed
// holds a place on the runner and in the lane until Release.
type Ticket struct {
	Bid   Bid
	Lane  string
	Purse float64
	Keys  []kvblock.BlockKey
	// PartTokens are the tokens of the parts that Keys stand for.
	PartTokens []int
	Steps      chan Step

	entered time.Time
	done    bool
	waited  bool
	// counted says that the picture of the traffic has it, answered that its first event has come.
	counted, answered bool
	sentAt            time.Time
}

// Field is what a desk decides about: the runners that the newest spec allows the pool, how many daemons
// share them, and what operators tell of the pool.
type Field struct {
	Runners []load.Runner
	Daemons int
	Pool    config.Pool
}

// Await waits for a ticket's step, or for the end of a context; it tells whether there is a step.
func Await(ctx context.Context, steps <-chan Step) (step Step, decided bool) {
	select {
	case step = <-steps:
		return step, true
	case <-ctx.Done():
		return Step{}, false
	}
}

// Scene gives the field as it is now.
type Scene func(now time.Time) Field

// Desk awards the prompts of one pool at one daemon.
type Desk struct {
	mutex   sync.Mutex
	scene   Scene
	book    *load.Book
	indexer *kvblock.Indexer
	random  *rand.Rand
	prices  Prices
	// Choose takes one of the priced offers; measurements put others in the place of Sample.
	Choose   Choice
	waitlist []*Ticket
	// window bounds the work that this daemon has under way in the pool; see PutBack.
	window   float64
	inFlight int
	narrowed time.Time
	// slots is this daemon's share of the pool's as last seen.
	slots float64
	lanes map[string]int
	// forecast is what is learned of the runners' speeds and of the traffic.
	forecast *forecast
	// quarters of the runners are kept for long prompts.
	quarters int
	// patiences are the lanes' own, which tell what counts as a long prompt.
	patiences map[string]time.Duration
	// doubts multiply the predicted wait of each lane's newcomers; see learnWait.
	doubts map[string]float64
	// pace is what is learned of how fast answers come.
	pace pace
	// Without names the mechanisms that are switched off.
	Without  features.Set
	Counters DeskCounters
}

// DeskCounters are what a desk counts.
type DeskCounters struct {
	Passed       uint64 `json:"Passed"`
	Waited       uint64 `json:"Waited"`
	Refused      uint64 `json:"Refused"`
	HeldTokens   uint64 `json:"HeldTokens"`
	PromptTokens uint64 `json:"PromptTokens"`
}

// NewDesk makes the desk of a pool.
func NewDesk(scene Scene, book *load.Book, indexer *kvblock.Indexer, random *rand.Rand) *Desk {
	return &Desk{scene: scene, book: book, indexer: indexer, random: random, prices: DefaultPrices, Choose: Sample, window: mostWindow, lanes: map[string]int{}, doubts: map[string]float64{},
		forecast: newForecast(), quarters: 1, patiences: map[string]time.Duration{}}
}

// Enter decides about a ticket, which waits if that is the decision.
func (desk *Desk) Enter(now time.Time, ticket *Ticket) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if ticket.entered.IsZero() {
		ticket.entered = now
	}
	ticket.done = false
	desk.waitlist = append(desk.waitlist, ticket)
	desk.settle(now)
	if len(desk.waitlist) > WaitlistLength {
		// The longest list gives up its least bid, which learns of it at once, whoever came last.
		least := desk.waitlist[len(desk.waitlist)-1]
		desk.waitlist = desk.waitlist[:len(desk.waitlist)-1]
		desk.end(least, Step{Kind: Refuse, Fault: apierror.WaitlistFull, RetryAfter: max(leastComeback, seconds(float64(len(desk.waitlist))*desk.prices.PlaceSeconds/max(1, desk.slots))), Reason: "too many better bids wait"})
	}
	if !ticket.done {
		desk.Counters.Waited++
	}
}

// Settle looks at everybody who waits; it is called when something changed and now and then.
func (desk *Desk) Settle(now time.Time) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.settle(now)
}

// Waiting tells whether anybody waits; only then is there anything to settle.
func (desk *Desk) Waiting() bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return len(desk.waitlist) > 0
}

// Cancel takes a ticket off the waitlist; it tells whether the ticket was still there.
func (desk *Desk) Cancel(ticket *Ticket) bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	for place, waiting := range desk.waitlist {
		if waiting == ticket {
			desk.waitlist = append(desk.waitlist[:place], desk.waitlist[place+1:]...)
			return true
		}
	}
	return false
}

// Release gives back the places of a ticket that was passed.
func (desk *Desk) Release(now time.Time, ticket *Ticket, runner string) {
	desk.book.Finish(runner, ticket.answered)
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.forecast.drop(ticket, runner)
	desk.inFlight--
	desk.window = min(mostWindow, desk.window+1/desk.window)
	desk.lanes[ticket.Lane]--
	if desk.lanes[ticket.Lane] <= 0 {
		delete(desk.lanes, ticket.Lane)
	}
	desk.settle(now)
}

// reuseTokens is how much must be thought held for a first event to say anything of it.
const reuseTokens = 500

// First takes in how long the first event of a run took after it was sent.
func (desk *Desk) First(ticket *Ticket, step Step, took time.Duration) {
	desk.answered(ticket, step, took)
	// Only on a runner that was not busy does the time of the first event speak of its cache.
	if step.HeldTokens >= reuseTokens && step.Runner.Load < float64(step.Runner.Slots)/2 {
		middle := (float64(ticket.Bid.PromptTokens) - float64(step.HeldTokens)/2) * desk.Prices().TokenSeconds
		desk.indexer.Pool.Add(kvblock.ReuseSeen{Runner: step.Runner.ID, Keys: ticket.Keys, Held: took.Seconds() <= middle})
	}
}

func (desk *Desk) answered(ticket *Ticket, step Step, took time.Duration) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	if ticket.answered {
		return
	}
	ticket.answered = true
	desk.book.Answered(step.Runner.ID)
	desk.forecast.first(ticket.sentAt.Add(took), ticket, step, took)
	desk.prices.TokenSeconds = desk.forecast.speeds.Token
}

// Sent takes in that a ticket's request went out to its runner.
func (desk *Desk) Sent(now time.Time, ticket *Ticket, step Step) {
	desk.indexer.Pool.Add(kvblock.BlockStored{Runner: step.Runner.ID, Now: now, Keys: ticket.Keys, Tokens: ticket.PartTokens})
}

// PutBack takes in that the runner did not start; what it put back it does not keep, and it is left alone for a moment.
func (desk *Desk) PutBack(now time.Time, ticket *Ticket, step Step) {
	desk.indexer.Pool.Add(kvblock.BlockRemoved{Runner: step.Runner.ID, Keys: ticket.Keys})
	desk.book.Failed(now, step.Runner.ID, "puts requests back")
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	// Reports are too old to keep many daemons from filling a runner at once. What they put back is
	// the one sign that is fresh, so it narrows what this daemon has under way, and each run that ends widens it.
	if now.Sub(desk.narrowed) >= narrowEvery && !desk.Without[features.Window] {
		desk.narrowed = now
		desk.window = max(leastWindow, min(desk.window, float64(desk.inFlight))*narrowBy)
	}
}

const (
	leastWindow = 2
	mostWindow  = 4096
	narrowBy    = 0.8
	narrowEvery = 300 * time.Millisecond
)

// Learn takes in how a run went: the prefill of so many tokens not held, and how long the place was held.
func (desk *Desk) Learn(uncached int, first, whole time.Duration) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	const weight = 0.05
	if uncached > 0 && first > 0 {
		desk.forecast.speeds.learn(uncached, 0, first.Seconds(), desk.forecast.seen)
		desk.forecast.seen++
		desk.prices.TokenSeconds = desk.forecast.speeds.Token
	}
	if whole > 0 {
		desk.prices.PlaceSeconds += weight * (min(max(whole.Seconds(), 0.01), 120) - desk.prices.PlaceSeconds)
	}
}

// Prices gives what has been learned.
func (desk *Desk) Prices() Prices {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.prices
}

// State gives counters, the length of the waitlist and each lane's work under way.
func (desk *Desk) State() (DeskCounters, int, map[string]int) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	lanes := map[string]int{}
	for lane, count := range desk.lanes {
		lanes[lane] = count
	}
	return desk.Counters, len(desk.waitlist), lanes
}

// Comeback reckons when another try may find a place: when the first runner that this request may use is
// no longer left alone, and the waitlist's turn has come by the learned time that places are held.
func (desk *Desk) Comeback(now time.Time, _ *Ticket) time.Duration {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	market := desk.market(now)
	soonest := mostComeback
	for _, offer := range market.Offers {
		if offer.Reason != load.ReasonLeaving {
			soonest = min(soonest, offer.Until.Sub(now))
		}
	}
	turn := seconds(float64(len(desk.waitlist)+1) * market.Prices.PlaceSeconds / max(1, market.Slots))
	return min(mostComeback, max(leastComeback, soonest)+turn)
}

const (
	leastComeback = 100 * time.Millisecond
	mostComeback  = 30 * time.Second
)

// Explain gives the prices that a bid would be quoted now, without taking part.
func (desk *Desk) Explain(now time.Time, ticket *Ticket) ([]Quote, Step) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	market := desk.market(now)
	ticket.Bid.InPurse = desk.inPurse(ticket, market)
	market.Offers = desk.offers(now, ticket, &market)
	quotes := Price(ticket.Bid, market.Offers, market.Prices)
	return quotes, Decide(ticket.Bid, market, quotes, desk.Choose, desk.random)
}

func (desk *Desk) market(now time.Time) Market {
	field := desk.scene(now)
	runners, daemons := field.Runners, field.Daemons
	market := Market{Now: now, Prices: desk.effective(desk.prices)}
	slots, used, places := 0.0, 0.0, 0.0
	for _, runner := range neverEmpty(runners) {
		if limit := field.Pool.ConnectionLimit; limit > 0 {
			// A runner resets what it gets beyond its limit from all daemons together.
			runner.Limit = min(runner.Limit, max(1, limit/max(1, daemons)))
		}
		market.Offers = append(market.Offers, Offer{Runner: runner})
		if runner.Usable {
			slots += float64(runner.Slots)
			places += float64(Places(runner))
			market.Room = market.Room || !full(runner)
			used += min(runner.Sure, float64(runner.Slots))
		}
	}
	market.Slots, market.Places = slots/float64(max(1, daemons)), places/float64(max(1, daemons))
	desk.slots = market.Slots
	if slots > 0 {
		market.Slack = 1 - used/slots
	}
	market.Daemons = max(1, daemons)
	market.Patient = desk.Without[features.EarlyRefusal]
	desk.survey(now, &market, field)
	return market
}

// decide gives the next step of a ticket in a market.
func (desk *Desk) decide(ticket *Ticket, market Market) Step {
	step := Decide(ticket.Bid, market, Price(ticket.Bid, market.Offers, market.Prices), desk.Choose, desk.random)
	if desk.Without[features.Urgency] {
		step.Urgency = Unset
	}
	return step
}

// effective gives the prices but for those of mechanisms that are switched off.
func (desk *Desk) effective(prices Prices) Prices {
	if desk.Without[features.RereadPrice] {
		prices.Reread = 0
	}
	if desk.Without[features.Harm] {
		prices.Harm = 0
	}
	if desk.Without[features.ZonePreference] {
		prices.CrossZone, prices.ThousandAcross = 0, 0
	}
	return prices
}

// neverEmpty lets runners be used that are left alone, the soonest to come back first, where they are more
// than a half: it is then more likely that something else is wrong, and a pool must not be emptied.
func neverEmpty(runners []load.Runner) []load.Runner {
	var alone []int
	staying := 0
	for place, runner := range runners {
		if runner.Reason == load.ReasonLeaving {
			continue
		}
		staying++
		if !runner.Usable {
			alone = append(alone, place)
		}
	}
	excess := len(alone) - staying/2
	if staying < leastFleet || excess <= 0 {
		return runners
	}
	sort.Slice(alone, func(left, right int) bool { return runners[alone[left]].Until.Before(runners[alone[right]].Until) })
	used := append([]load.Runner{}, runners...)
	for _, place := range alone[:excess] {
		used[place].Usable = true
	}
	return used
}

func (desk *Desk) inPurse(ticket *Ticket, market Market) bool {
	return float64(desk.lanes[ticket.Lane]+1) <= max(1, ticket.Purse*market.Places)
}

// settle decides about everybody who waits, the best bid first.
func (desk *Desk) settle(now time.Time) {
	if len(desk.waitlist) == 0 {
		return
	}
	market := desk.market(now)
	for _, ticket := range desk.waitlist {
		ticket.Bid.Waited = now.Sub(ticket.entered)
		ticket.Bid.InPurse = desk.inPurse(ticket, market)
	}
	sort.SliceStable(desk.waitlist, func(left, right int) bool {
		return desk.waitlist[left].Bid.standing() > desk.waitlist[right].Bid.standing()
	})
	kept := desk.waitlist[:0]
	ahead := 0
	listed := append([]*Ticket{}, desk.waitlist...)
	for _, ticket := range listed {
		if ticket.done {
			continue
		}
		// The purse may have been filled by a better bid of the same lane a moment ago.
		ticket.Bid.InPurse = desk.inPurse(ticket, market)
		// With every runner full nothing can change for who waits but its patience, and a long waitlist
		// priced anew at each tick would take a core.
		market.Room = market.Room && float64(desk.inFlight) < desk.window
		if ticket.waited && !market.Room && ticket.Bid.Waited < ticket.Bid.bound() {
			kept = append(kept, ticket)
			ahead++
			continue
		}
		own := market
		own.Ahead = ahead
		own.Offers = desk.offers(now, ticket, &market)
		if !ticket.waited {
			own.Doubt = desk.doubts[ticket.Lane]
		}
		step := desk.decide(ticket, own)
		if step.Kind == Wait {
			kept = append(kept, ticket)
			ticket.waited = true
			// One that waits only for its purse, or for runners shut to it alone, holds up nobody behind it.
			if ticket.Bid.InPurse && len(ticket.Bid.Shut) == 0 {
				ahead++
			}
			continue
		}
		if step.Kind == Pass {
			desk.pass(now, ticket, step, &market)
		}
		desk.end(ticket, step)
	}
	desk.waitlist = kept
}

func (desk *Desk) pass(now time.Time, ticket *Ticket, step Step, market *Market) {
	ticket.answered, ticket.sentAt = false, now
	desk.note(now, ticket, step)
	desk.book.Begin(step.Runner.ID)
	desk.lanes[ticket.Lane]++
	desk.inFlight++
	desk.Counters.Passed++
	desk.Counters.HeldTokens += uint64(step.HeldTokens)
	desk.Counters.PromptTokens += uint64(ticket.Bid.PromptTokens)
	for place := range market.Offers {
		if market.Offers[place].ID == step.Runner.ID {
			market.Offers[place].Load++
			market.Offers[place].Sure++
			market.Offers[place].InFlight++
		}
	}
	market.Room = false
	for _, offer := range market.Offers {
		market.Room = market.Room || offer.Usable && !full(offer.Runner)
	}
}

// learnWait makes a lane's predictions more careful after each wait that was in vain, and bolder
// after each that was not, so that overload is told at the door.
func (desk *Desk) learnWait(ticket *Ticket, step Step) {
	const most, up, down = 32, 1.15, 0.97
	doubt := max(1, desk.doubts[ticket.Lane])
	if step.Kind == Refuse {
		doubt *= up
	} else {
		doubt *= down
	}
	desk.doubts[ticket.Lane] = min(most, max(1, doubt))
	if doubt <= 1 {
		delete(desk.doubts, ticket.Lane)
	}
}

func (desk *Desk) end(ticket *Ticket, step Step) {
	ticket.done = true
	if ticket.waited {
		desk.learnWait(ticket, step)
		ticket.waited = false
	}
	if step.Kind == Refuse {
		desk.Counters.Refused++
	}
	ticket.Steps <- step
}
