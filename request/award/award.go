// Package award decides: it is asked with all that is known about a request and the runners, and
// says what to do next. It does nothing itself and keeps no time; the executor obeys.
package award

import (
	"math"
	"math/rand"
	"time"

	"wardtray/process/fault"
	"wardtray/process/pressure"
)

// Prices weigh what a runner costs a prompt. All are in seconds, so that they add up.
type Prices struct {
	// TokenSeconds is the prefill time of one token that is not held.
	TokenSeconds float64
	// PlaceSeconds is for how long a request holds its place on a runner.
	PlaceSeconds float64
	// CrossZone is the price of taking work to another zone.
	CrossZone float64
}

// DefaultPrices hold until figures of one's own have come in.
var DefaultPrices = Prices{TokenSeconds: 0.00015, PlaceSeconds: 2, CrossZone: 0.04}

// Bid is what a prompt brings to the auction.
type Bid struct {
	Worth float64
	// Patience is the time within which the first event earns its full worth.
	Patience time.Duration
	Waited   time.Duration
	// Deadline is how long the requester waits at all, from when the request came; 0: not told.
	Deadline     time.Duration
	PromptTokens int
	// AnswerTokens is the most that the answer may hold; 0: not told.
	AnswerTokens int
	// Rank orders lanes under pressure, 0 first.
	Rank int
	// Resumed tells that part of the answer was relayed already and the rest is wanted.
	Resumed bool
	Zone    string
	// InPurse is false when the lane already holds its share of the pool.
	InPurse bool
	// Shut names runners that this request must not go to again.
	Shut map[string]bool
}

// Offer is a runner that may take the prompt.
type Offer struct {
	pressure.Runner
	// HeldTokens is how much of the prompt's opening the index takes the runner to hold.
	HeldTokens int
}

// Kind names a step.
type Kind string

// The steps.
const (
	Pass   Kind = "pass"
	Wait   Kind = "wait"
	Refuse Kind = "refuse"
)

// Step is what to do next.
type Step struct {
	Kind   Kind
	Runner pressure.Runner
	// HeldTokens and Predicted tell what the award was based on.
	HeldTokens int
	Predicted  time.Duration
	Fault      fault.Kind
	RetryAfter time.Duration
	Reason     string
	// Urgency is what the runner is told, from 0, the most urgent, to 9; Unset stands for not telling.
	Urgency int
}

// Unset is the urgency of a request whose runner is told none.
const Unset = 5

// Urgency grows with the part of its patience that a prompt has used up.
func (bid Bid) Urgency() float64 {
	return 1 + min(1, float64(bid.Waited)/float64(max(bid.Patience, time.Millisecond)))
}

// standing orders waiting prompts; the greater goes first. A lane beyond its purse comes after all
// lanes within theirs, so that none starves.
func (bid Bid) standing() float64 {
	rank := bid.Worth * bid.Urgency()
	if bid.InPurse {
		rank += 10_000
	}
	return rank
}

// Quote is an offer with its price.
type Quote struct {
	Offer Offer
	// First is the predicted time to the first event, in seconds.
	First float64
	// Net is what the offer is worth: prefill saved, less what the runner asks.
	Net  float64
	Full bool
}

// Price gives each usable offer its price for a bid.
func Price(bid Bid, offers []Offer, prices Prices) []Quote {
	var quotes []Quote
	for _, offer := range offers {
		if !offer.Usable || bid.Shut[offer.ID] || offer.Limit == 0 {
			continue
		}
		slots := float64(max(1, offer.Slots))
		// Why: a place beyond the slots waits for one of them to come free; one within still shares the engine with the others.
		queued := max(0, offer.Load+1-slots) / slots * prices.PlaceSeconds
		shared := min(1, offer.Load/slots) * 0.25 * prices.TokenSeconds * float64(bid.PromptTokens)
		saved := float64(min(offer.HeldTokens, bid.PromptTokens)) * prices.TokenSeconds
		prefill := float64(bid.PromptTokens)*prices.TokenSeconds - saved
		asked := queued*bid.Urgency() + shared + emptiness(offer, slots, prices)
		if offer.Zone != bid.Zone {
			asked += prices.CrossZone
		}
		quotes = append(quotes, Quote{Offer: offer, First: queued + shared + prefill, Net: saved - asked, Full: full(offer.Runner)})
	}
	return quotes
}

// Places is how much work a runner may have: its slots and a short queue.
func Places(runner pressure.Runner) int { return runner.Slots + max(1, runner.Slots/2) }

// full tells whether a runner may have no more work of ours now.
func full(runner pressure.Runner) bool {
	// Why: smoothed reports go on for seconds after a crowd has gone; nobody is turned away for those.
	return runner.Sure >= float64(Places(runner)) || runner.InFlight >= runner.Limit
}

// emptiness makes a nearly idle runner cheaper than a half full one by a little, growing steeply
// towards its last slot: a hot key spills before its runner queues.
func emptiness(offer Offer, slots float64, prices Prices) float64 {
	filled := math.Min(2, offer.Load/slots)
	return 0.02 * prices.PlaceSeconds * filled * filled
}

// Market is what a decision is made from.
type Market struct {
	Now    time.Time
	Offers []Offer
	Prices Prices
	// Ahead is how many better bids wait already. Slots is this daemon's share of all slots, Places of
	// all places, short queues counted in.
	Ahead         int
	Slots, Places float64
	// Room tells that some usable runner is not full, and that this daemon may have more under way.
	Room bool
	// Doubt multiplies the predicted wait of a newcomer, where waits of its lane were in vain of late.
	Doubt float64
	// Slack is the free part of all slots.
	Slack float64
}

// slackForAll is the free part of a pool above which a lane may go beyond its purse.
const slackForAll = 0.25

// Decide gives the next step of a request, whose offers have been priced.
func Decide(bid Bid, market Market, quotes []Quote, choose Choice, random *rand.Rand) Step {
	if len(quotes) == 0 {
		return noRunner(bid, market)
	}
	// Why: beyond its purse a lane takes only what nobody else would miss.
	pursed := bid.InPurse || market.Slack >= slackForAll
	best := -1
	if market.Room {
		best = choose(bid, quotes, random)
	}
	if best >= 0 && pursed && market.Ahead == 0 {
		quote := quotes[best]
		return Step{Kind: Pass, Runner: quote.Offer.Runner, HeldTokens: quote.Offer.HeldTokens, Predicted: seconds(quote.First), Urgency: Unset}
	}
	return wait(bid, market, quotes, best >= 0 && !pursed)
}

// quotas are how many runners of each group are looked at: those that hold most of the prompt and the
// others, in our own zone and beyond. The own zone comes first, since bytes between zones are dear.
var quotas = map[group]int{{true, true}: 2, {true, false}: 1, {false, true}: 2, {false, false}: 1}

type group struct{ holds, near bool }

// Choice gives the place of the offer to take, or -1 where every runner is full.
type Choice func(bid Bid, quotes []Quote, random *rand.Rand) int

// Sample is wardtray's choice: the best offer among a few drawn by lot from each group.
//
// Why by lot: all daemons know the same old reports. If each took the best of all, they would all take
// the same one; drawn by lot they spread, and the better of a few is nearly as good as the best.
func Sample(bid Bid, quotes []Quote, random *rand.Rand) int {
	most := 0
	for _, quote := range quotes {
		if !quote.Full {
			most = max(most, quote.Offer.HeldTokens)
		}
	}
	best, drawn := -1, map[group]int{}
	for _, place := range random.Perm(len(quotes)) {
		quote := quotes[place]
		from := group{most > 0 && quote.Offer.HeldTokens == most, quote.Offer.Zone == bid.Zone}
		if quote.Full || drawn[from] >= quotas[from] {
			continue
		}
		drawn[from]++
		if best < 0 || quote.Net > quotes[best].Net {
			best = place
		}
	}
	return best
}

func noRunner(bid Bid, market Market) Step {
	// Why: a runner that is only paused or warming may come within the patience; without any there is nothing to wait for.
	for _, offer := range market.Offers {
		if offer.Reason != pressure.ReasonLeaving && !bid.Shut[offer.ID] && bid.Waited < bid.Patience {
			return Step{Kind: Wait, Reason: "every fit runner is paused or warming"}
		}
	}
	// Why: a runner that is only left alone for a while tells when to come back; where there is none at all the
	// waitlist's own pace is all that is known.
	retry := seconds(market.Prices.PlaceSeconds)
	for _, offer := range market.Offers {
		if offer.Reason != pressure.ReasonLeaving && offer.Until.After(market.Now) {
			retry = min(retry, offer.Until.Sub(market.Now))
		}
	}
	return Step{Kind: Refuse, Fault: fault.NoRunner, RetryAfter: max(leastComeback, retry), Reason: "no runner that the spec allows is fit"}
}

// wait lets a prompt wait if its turn should come within its patience, and refuses it at once otherwise.
func wait(bid Bid, market Market, quotes []Quote, overPurse bool) Step {
	least := math.Inf(1)
	for _, quote := range quotes {
		least = min(least, float64(bid.PromptTokens-min(bid.PromptTokens, quote.Offer.HeldTokens))*market.Prices.TokenSeconds)
	}
	turn := max(1, market.Doubt) * float64(market.Ahead+1) * market.Prices.PlaceSeconds / max(1, market.Slots)
	predicted := seconds(turn + least)
	if bid.Waited+predicted <= bid.Patience {
		return Step{Kind: Wait, Predicted: predicted, Reason: "every fit runner is full"}
	}
	step := Step{Kind: Refuse, Fault: fault.PatienceShort, Predicted: predicted, RetryAfter: max(time.Second, predicted-bid.Patience),
		Reason: "the first event would come later than the lane's patience"}
	if overPurse {
		step.Fault, step.Reason = fault.PurseSpent, "the lane holds its share of the pool and others wait"
	}
	return step
}

func seconds(value float64) time.Duration {
	return time.Duration(min(value, 3600) * float64(time.Second))
}
