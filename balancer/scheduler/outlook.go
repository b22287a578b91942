package scheduler

import (
	"math"
	"sort"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/features"
)

const (
	// longTimes is how many times the least patience of a pool a prompt's reading takes that counts as long.
	longTimes = 1.0
	// longRoom is how many times the runners that long prompts need are kept for them.
	longRoom = 1.3
	// keepsUntil is how far, in quarters, what is wanted may go from what is kept.
	keepsUntil = 0.65
	// mostQuarters is how many quarters are kept for long prompts at most.
	mostQuarters = 2.0
	// leastFleet is how many runners there must be for some to be kept for long prompts.
	leastFleet = 4
	// spread is how many times its even part of the runners an opening's homes are.
	spread = 2.0
	// indexChance is how likely a runner still holds what it was sent a moment ago, homeChance how likely a home
	// holds its opening, and spillChance the runner next to the homes.
	indexChance, homeChance, spillChance = 0.97, 0.85, 0.3
	// keptPart is the part of a runner's memory that kept parts may take.
	keptPart = 0.8
	// newcomer is how many first events a daemon must have seen to know its traffic.
	newcomer = 2
	// evenly is how much work, spread evenly, is supposed beside our own for each daemon.
	evenly = 0.3
)

// survey adds to a market what is forecast of the traffic.
func (desk *Desk) survey(now time.Time, market *Market, field Field) {
	forecast := desk.forecast
	// One that is only left alone for a while keeps its side. If another took its place, the openings at home
	// there would move as well.
	var staying []load.Runner
	for _, offer := range market.Offers {
		if offer.Reason != load.ReasonLeaving {
			staying = append(staying, offer.Runner)
		}
	}
	forecast.forget(field.Runners)
	if !desk.Without[features.LongRunners] {
		market.Long = longRunners(staying, desk.keep())
	}
	short := len(staying) - len(market.Long)
	wait := func(of *sizes, runners int) (usual, each float64) {
		busy := forecast.busy(now, of, market.Daemons, runners)
		each = of.left()
		// The mean wait of a single queue that serves one prompt after the other.
		return busy / (1 - busy) * each, each
	}
	market.Usual, market.Each = wait(&forecast.short, max(1, short))
	market.UsualLong, market.EachLong = wait(&forecast.long, max(1, len(market.Long)))
	if forecast.requests > 0 {
		fleet := forecast.paceAt(now) * float64(market.Daemons)
		market.Pace = fleet * forecast.short.count / forecast.requests / float64(max(1, short))
		if read := fleet * forecast.tokens / forecast.requests / float64(max(1, len(staying))); read > 0 && field.Pool.Engine.MemoryTokens > 0 {
			market.Kept = seconds(keptPart * float64(field.Pool.Engine.MemoryTokens) / read)
		}
	}
}

// coming is how many requests of other daemons a runner is likely to have that its words don't tell of yet.
//
// Why by our own: all daemons agree on the homes of openings, so that where ours are, theirs are too.
func (market *Market) coming(inFlight int, runner load.Runner) float64 {
	others := float64(inFlight * (market.Daemons - 1))
	// The more daemons, the more one of our own stands for, and the less it tells.
	supposed := evenly * float64(market.Daemons)
	part := (float64(runner.InFlight) + supposed/float64(max(1, len(market.Offers)))) / (float64(inFlight) + supposed)
	return max(0, others*part-(runner.Load-float64(runner.InFlight)))
}

// keep settles how many quarters of the runners are kept for long prompts.
//
// Why quarters, and slowly: openings move when runners change sides, and each daemon's picture of the traffic
// is its own. So coarse a measure is the same at nearly all of them.
func (desk *Desk) keep() int {
	wanted := 4 * longRoom * desk.forecast.longPart()
	if math.Abs(wanted-float64(desk.quarters)) > keepsUntil {
		desk.quarters = int(min(mostQuarters, math.Round(wanted)))
	}
	return desk.quarters
}

// longRunners are those to which long prompts go first; all daemons agree on them by the runners' names.
func longRunners(runners []load.Runner, quarters int) map[string]bool {
	long := map[string]bool{}
	if len(runners) < leastFleet {
		return long
	}
	for _, runner := range rank(runners, 0)[:(len(runners)*quarters+2)/4] {
		long[runner] = true
	}
	return long
}

// rank orders runners by a hash of a key and their names, the same at every daemon. A runner that comes or
// goes changes the order of no others.
func rank(runners []load.Runner, key uint64) []string {
	type weighed struct {
		id     string
		weight uint64
	}
	list := make([]weighed, len(runners))
	for place, runner := range runners {
		list[place] = weighed{runner.ID, weigh(runner.ID, key)}
	}
	sort.Slice(list, func(left, right int) bool { return list[left].weight > list[right].weight })
	names := make([]string, len(list))
	for place, one := range list {
		names[place] = one.id
	}
	return names
}

// weigh is FNV-1a over a name, mixed with a key.
func weigh(name string, key uint64) uint64 {
	hash := uint64(14695981039346656037)
	for place := range len(name) {
		hash = (hash ^ uint64(name[place])) * 1099511628211
	}
	hash ^= key
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// long tells whether a prompt takes so long to read that short ones behind it would lose their patience.
func (desk *Desk) long(work float64) bool {
	least := time.Duration(math.MaxInt64)
	for _, patience := range desk.patiences {
		least = min(least, patience)
	}
	return work > longTimes*least.Seconds()
}

// offers fills in what each runner means for one prompt.
func (desk *Desk) offers(now time.Time, ticket *Ticket, market *Market) []Offer {
	if ticket.Bid.Patience > 0 {
		desk.patiences[ticket.Lane] = ticket.Bid.Patience
	}
	shared := ticket.sharedTokens()
	long := desk.long(desk.forecast.speeds.Prefill(ticket.Bid.PromptTokens, shared))
	priced := make([]Offer, len(market.Offers))
	copy(priced, market.Offers)
	var group []load.Runner
	set := make(map[string]bool, len(priced))
	for _, offer := range priced {
		set[offer.ID] = true
		if offer.Usable && market.Long[offer.ID] == (long && len(market.Long) > 0) {
			group = append(group, offer.Runner)
		}
	}
	held := map[string]kvblock.Hold{}
	if !desk.Without[features.PrefixIndex] {
		held = desk.indexer.Held(ticket.Keys, set)
	}
	chances := map[string]float64{}
	if !desk.Without[features.Homes] {
		chances = desk.homeChances(ticket, market, group, shared)
	}
	for place := range priced {
		offer := &priced[place]
		offer.SharedTokens = shared
		if hold, found := held[offer.ID]; found {
			offer.expect(now, hold, ticket.PartTokens, market.Kept)
		}
		if chance := chances[offer.ID]; chance*float64(shared) > offer.Chance*float64(offer.HeldTokens) {
			offer.HeldTokens, offer.Chance = shared, chance
		}
		desk.predict(now, offer, ticket.Bid.PromptTokens, market)
	}
	return priced
}

// sharedTokens counts the tokens of all parts of a prompt but the last, which is its own.
func (ticket *Ticket) sharedTokens() int {
	shared := 0
	for _, tokens := range ticket.PartTokens[:max(0, len(ticket.PartTokens)-1)] {
		shared += tokens
	}
	return shared
}

// homeChances gives for some runners of a group how likely they hold a prompt's opening because it goes there, whoever
// sends it.
func (desk *Desk) homeChances(ticket *Ticket, market *Market, group []load.Runner, shared int) map[string]float64 {
	chances := map[string]float64{}
	if shared == 0 || market.Daemons <= 1 {
		return chances
	}
	opening := home(ticket.Keys)
	homes := 1 + int(spread*desk.forecast.openingPart(opening)*float64(len(group)))
	if len(group) > 0 {
		// A daemon can't see that others send the same. Even if each sends one at once, homes have places.
		each := market.Daemons / Places(group[0])
		if desk.forecast.seen < newcomer {
			// Daemons that begin together send the first of several openings at once.
			each = 2 * market.Daemons / Places(group[0])
		}
		homes = max(homes, each)
	}
	for place, id := range rank(group, uint64(opening)) {
		if place < homes {
			chances[id] = homeChance
		} else if place == homes {
			chances[id] = spillChance
		}
	}
	return chances
}

// expect fills in what the index says that a runner holds of a prompt; kept is how long runners keep a part.
func (offer *Offer) expect(now time.Time, hold kvblock.Hold, partTokens []int, kept time.Duration) {
	for _, tokens := range partTokens[:min(hold.Blocks, len(partTokens))] {
		offer.HeldTokens += tokens
	}
	offer.Chance = indexChance
	if kept > 0 {
		offer.Chance *= math.Exp(-float64(now.Sub(hold.Used)) / float64(kept))
	}
}

// predict fills in how long a runner would read a prompt and let it wait, and what that does to others.
func (desk *Desk) predict(now time.Time, offer *Offer, promptTokens int, market *Market) {
	forecast := desk.forecast
	slow := forecast.track(offer.ID).slowness(now)
	if desk.Without[features.Slowness] {
		slow = 1
	}
	whole, less := forecast.speeds.Prefill(promptTokens, 0), forecast.speeds.Prefill(promptTokens, offer.HeldTokens)
	offer.Prefill = (forecast.speeds.Overhead + whole - offer.Chance*(whole-less)) * slow
	usual, each, pace := market.Usual, market.Each, market.Pace
	if market.Long[offer.ID] {
		usual, each, pace = market.UsualLong, market.EachLong, 0
	}
	offer.Wait = forecast.own(now, offer.ID)*slow + forecast.others(now, offer.Runner, usual, each)*slow
	if !desk.Without[features.OthersEstimate] {
		offer.Coming = market.coming(desk.inFlight, offer.Runner)
	}
	offer.Harm = pace * offer.Prefill * offer.Prefill / 2
}

// note takes in that a prompt goes out to a runner.
func (desk *Desk) note(now time.Time, ticket *Ticket, step Step) {
	shared := ticket.sharedTokens()
	work := desk.forecast.speeds.Prefill(ticket.Bid.PromptTokens, min(step.HeldTokens, ticket.Bid.PromptTokens))
	if !ticket.counted {
		ticket.counted = true
		usual := desk.forecast.speeds.Prefill(ticket.Bid.PromptTokens, shared)
		desk.forecast.count(now, home(ticket.Keys), usual, ticket.Bid.PromptTokens-shared+ticket.Bid.AnswerTokens/2, desk.long(usual))
	}
	desk.forecast.send(now, ticket, step.Runner.ID, work, step.Predicted.Seconds())
}
