// Package award decides: it is asked with all that is known about a request and the runners, and
// says what to do next. It does nothing itself and keeps no time; the executor obeys.
package scheduler

import (
	"math"
	"math/rand"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
)

// CostWeights weigh what a runner costs a prompt. All are in seconds, so that they add up.
type CostWeights struct {
	// TokenSeconds is the learned prefill time of one token that is not held.
	TokenSeconds float64 `json:"TokenSeconds"`
	// PlaceSeconds is for how long a request holds its place on a runner.
	PlaceSeconds float64 `json:"PlaceSeconds"`
	// CrossZone is the price of taking work to another zone, ThousandAcross that of each thousand tokens beside.
	CrossZone      float64 `json:"CrossZone"`
	ThousandAcross float64 `json:"ThousandAcross"`
	// Reread is the price of reading a thousand tokens of shared parts once more, beside the time it takes.
	Reread float64 `json:"Reread"`
	// Harm is how many times a second of others' waiting counts against one of our own.
	Harm float64 `json:"Harm"`
}

// DefaultCostWeights hold until figures of one's own have come in.
var DefaultCostWeights = CostWeights{TokenSeconds: DefaultSpeeds.Token, PlaceSeconds: 2, CrossZone: 0.02, ThousandAcross: 0.003, Reread: 0.25, Harm: 0.6}

// Requirements is what a prompt brings to the auction.
type Requirements struct {
	Value float64 `json:"Worth"`
	// LatencyTarget is the time within which the first event earns its full worth.
	LatencyTarget time.Duration `json:"Patience"`
	Waited        time.Duration `json:"Waited"`
	// Deadline is how long the client waits at all, from when the request came; 0: not told.
	Deadline     time.Duration `json:"Deadline"`
	PromptTokens int           `json:"PromptTokens"`
	// AnswerTokens is the most that the answer may hold; 0: not told.
	AnswerTokens int `json:"AnswerTokens"`
	// Rank orders routes under pressure, 0 first.
	Rank int `json:"Rank"`
	// TenantRank orders tenants under pressure, 0 first; it goes before Rank.
	TenantRank int `json:"TenantRank"`
	// Resumed tells that part of the answer was relayed already and the rest is wanted.
	Resumed bool   `json:"Resumed"`
	Zone    string `json:"Zone"`
	// WithinLimit is false when the route already holds its share of the backend.
	WithinLimit bool `json:"InPurse"`
	// Shut names runners that this request must not go to again.
	Shut map[string]bool `json:"Shut"`
}

// Candidate is a runner that may take the prompt.
type Candidate struct {
	load.Runner
	// HeldTokens is how much of the prompt's opening the runner is taken to hold, by the index or as a home of
	// the opening; Chance is how likely that is.
	HeldTokens int     `json:"HeldTokens"`
	Chance     float64 `json:"Chance"`
	// SharedTokens is how many tokens of the prompt others are likely to have sent as well.
	SharedTokens int `json:"SharedTokens"`
	// Prefill is how long the runner reads the prompt; Wait how long it reads others first. Harm is how long
	// the reading keeps others waiting. All in seconds.
	Prefill float64 `json:"Prefill"`
	Wait    float64 `json:"Wait"`
	Harm    float64 `json:"Harm"`
	// Coming is how many requests of other daemons the runner is likely to have that its words don't tell of yet.
	Coming float64 `json:"Coming"`
}

// likely is how many tokens of the prompt the runner is likely to hold.
func (candidate Candidate) likely() float64 { return candidate.Chance * float64(candidate.HeldTokens) }

// DecisionKind names a step.
type DecisionKind string

// The steps.
const (
	Dispatch DecisionKind = "pass"
	Enqueue  DecisionKind = "wait"
	Reject   DecisionKind = "refuse"
)

// Decision is what to do next.
type Decision struct {
	Kind   DecisionKind `json:"Kind"`
	Runner load.Runner  `json:"Runner"`
	// HeldTokens and Predicted tell what the award was based on.
	HeldTokens int           `json:"HeldTokens"`
	Predicted  time.Duration `json:"Predicted"`
	Fault      apierror.Code `json:"Fault"`
	RetryAfter time.Duration `json:"RetryAfter"`
	Reason     string        `json:"Reason"`
	// Urgency is what the runner is told, from 0, the most urgent, to 9; Unset stands for not telling.
	Urgency int `json:"Urgency"`
}

// The urgencies told to runners.
const (
	// Ahead is that of a prompt that is read in a small part of its latency target.
	Ahead = 3
	// Unset is the urgency of a request whose runner is told none.
	Unset = 5
	// Behind is that of one whose reading alone outlasts its latency target.
	Behind = 8
	// aheadPart is the part of its latency target in which a prompt that goes ahead is read.
	aheadPart = 0.25
)

// urgency lets short prompts go ahead of long ones that wait at a runner, and all of those that can be in
// time ahead of those that can't.
func urgency(requirements Requirements, scored ScoredCandidate) int {
	if requirements.LatencyTarget <= 0 {
		return Unset
	}
	if scored.Candidate.Prefill > requirements.LatencyTarget.Seconds() {
		return Behind
	}
	if scored.Candidate.Prefill < aheadPart*requirements.LatencyTarget.Seconds() {
		return Ahead
	}
	return Unset
}

// deadlinePart is the part of its deadline for which a request is kept waiting at most.
const deadlinePart = 0.45

// bound is how long a request may wait to be passed. Past its latency target it still earns something, up to its
// deadline, of which the runner needs a part.
func (requirements Requirements) bound() time.Duration {
	return max(requirements.LatencyTarget, time.Duration(deadlinePart*float64(requirements.Deadline)))
}

// Urgency grows with the part of its latency target that a prompt has used up.
func (requirements Requirements) Urgency() float64 {
	return 1 + min(1, float64(requirements.Waited)/float64(max(requirements.LatencyTarget, time.Millisecond)))
}

// The steps of standing: each is more than all that comes after it can add up to.
const (
	concurrencyLimitStep = 10_000
	tenantStep           = 2 * concurrencyLimitStep
)

// standing orders waiting prompts; the greater goes first. Tenants go by their ranks first.
// A route beyond its concurrency limit comes after all routes within theirs, so that none starves.
func (requirements Requirements) standing() float64 {
	rank := requirements.Value*requirements.Urgency() - tenantStep*float64(requirements.TenantRank)
	if requirements.WithinLimit {
		rank += concurrencyLimitStep
	}
	return rank
}

// ScoredCandidate is an offer with its price.
type ScoredCandidate struct {
	Candidate Candidate `json:"Offer"`
	// First is the predicted time to the first event, in seconds.
	First float64 `json:"First"`
	// Net is what the offer is worth: the less it costs, the more.
	Net  float64 `json:"Net"`
	Full bool    `json:"Full"`
}

// Score gives each usable offer its price for a bid.
func Score(requirements Requirements, candidates []Candidate, prices CostWeights) []ScoredCandidate {
	scoredCandidates := make([]ScoredCandidate, 0, len(candidates))
	for _, candidate := range candidates {
		if !candidate.Usable || requirements.Shut[candidate.ID] || candidate.Limit == 0 {
			continue
		}
		slots := float64(max(1, candidate.Slots))
		// A place beyond the slots waits for one of them to come free; one within still shares the engine with the others.
		queued := max(0, candidate.Load+1-slots) / slots * prices.PlaceSeconds
		first := queued + candidate.Wait + candidate.Prefill
		lost := float64(candidate.SharedTokens) - candidate.Chance*float64(min(candidate.HeldTokens, candidate.SharedTokens))
		asked := first + queued*(requirements.Urgency()-1) + emptiness(candidate, slots, prices) + memoryPrice*crowding(requirements, candidate) +
			prices.Reread*lost/1000 + prices.Harm*candidate.Harm
		if candidate.Zone != requirements.Zone {
			asked += prices.CrossZone + prices.ThousandAcross*float64(requirements.PromptTokens)/1000
		}
		scoredCandidates = append(scoredCandidates, ScoredCandidate{Candidate: candidate, First: first, Net: -asked, Full: full(candidate.Runner)})
	}
	return scoredCandidates
}

const (
	// memoryPart is the part of a runner's memory above which requests are likely to be put back.
	memoryPart = 0.92
	// memoryPrice is that of being so, for as much as the whole memory is overfull.
	memoryPrice = 10
)

// crowding is by how much a runner's memory would be overfull, as a part of it.
func crowding(requirements Requirements, candidate Candidate) float64 {
	if candidate.MemoryTokens == 0 {
		return 0
	}
	return max(0, float64(candidate.UsedTokens+requirements.PromptTokens+requirements.AnswerTokens/2)/float64(candidate.MemoryTokens)-memoryPart)
}

// Places is how much work a runner may have: its slots and a short queue.
func Places(runner load.Runner) int { return runner.Slots + max(1, runner.Slots/2) }

// full tells whether a runner may have no more work of ours now.
func full(runner load.Runner) bool {
	// Smoothed reports go on for seconds after a crowd has gone; nobody is turned away for those.
	return runner.LatestLoad >= float64(Places(runner)) || runner.InFlight >= runner.Limit
}

// emptiness makes a nearly idle runner cheaper than a half full one by a little, growing steeply
// towards its last slot: a hot key spills before its runner queues.
func emptiness(candidate Candidate, slots float64, prices CostWeights) float64 {
	filled := math.Min(2, (candidate.Load+candidate.Coming)/slots)
	return prices.PlaceSeconds*emptinessPrice*filled*filled + fullPrice*math.Pow(max(0, filled-fullFrom), 2)
}

const (
	emptinessPrice = 0.02
	// fullPrice is for the risk that a runner is full when the prompt gets there, from fullFrom of its slots on;
	// what is put back may find no second runner.
	fullPrice, fullFrom = 4.0, 0.4
)

// SchedulingContext is what a decision is made from.
type SchedulingContext struct {
	Now        time.Time
	Candidates []Candidate
	Prices     CostWeights
	// Ahead is how many better bids wait already. Slots is this daemon's share of all slots, Places of
	// all places, short queues counted in.
	Ahead         int
	Slots, Places float64
	// Room tells that some usable runner is not full, and that this daemon may have more under way.
	Room bool
	// Doubt multiplies the predicted wait of a newcomer, where waits of its route were in vain of late.
	Doubt float64
	// Slack is the free part of all slots.
	Slack float64
	// Usual and UsualLong are how long a runner usually reads other daemons' prompts first, where short ones go
	// and where long ones go; Each and EachLong how long one waiting prompt takes there.
	Usual, UsualLong, Each, EachLong float64
	// Long names the runners to which long prompts go first; Pace is how many short ones a second come to each other.
	Long map[string]bool
	Pace float64
	// Kept is how long a runner keeps a part that nobody asks for; 0: not known.
	Kept time.Duration
	// Daemons is how many share the runners.
	Daemons int
	// Patient lets requests wait as long as they may, whatever is predicted.
	Patient bool
}

// slackForAll is the free part of a backend above which a route may go beyond its concurrency limit.
const slackForAll = 0.25

// Decide gives the next step of a request, whose offers have been priced.
func Decide(requirements Requirements, schedulingContext SchedulingContext, scoredCandidates []ScoredCandidate, choose Picker, random *rand.Rand) Decision {
	if len(scoredCandidates) == 0 {
		return noRunner(requirements, schedulingContext)
	}
	// Beyond its concurrency limit a route takes only what nobody else would miss.
	pursed := requirements.WithinLimit || schedulingContext.Slack >= slackForAll
	best := -1
	if schedulingContext.Room {
		best = choose(requirements, scoredCandidates, random)
	}
	if best >= 0 && pursed && schedulingContext.Ahead == 0 {
		scored := scoredCandidates[best]
		return Decision{Kind: Dispatch, Runner: scored.Candidate.Runner, HeldTokens: scored.Candidate.HeldTokens, Predicted: seconds(scored.First), Urgency: urgency(requirements, scored)}
	}
	return wait(requirements, schedulingContext, scoredCandidates, best >= 0 && !pursed)
}

// Picker gives the place of the offer to take, or -1 where every runner is full.
type Picker func(requirements Requirements, scoredCandidates []ScoredCandidate, random *rand.Rand) int

// mostPart is the part of the most that is likely to be held anywhere from which on a runner counts as a holder.
const mostPart = 0.6

// quotas are how many runners of each group are looked at: those that are likely to hold most of the prompt
// and the others, in our own zone and beyond.
var quotas = map[group]int{{true, true}: 3, {true, false}: 3, {false, true}: 4, {false, false}: 3}

type group struct{ holds, near bool }

// Sample is wardtray's choice: the best offer among a few drawn by lot from each group.
//
// Why by lot: many daemons know the same old reports. If each took the best of all, they would all take
// the same one; drawn by lot they spread, and the better of a few is nearly as good as the best.
func Sample(requirements Requirements, scoredCandidates []ScoredCandidate, random *rand.Rand) int {
	most := 0.0
	for _, scored := range scoredCandidates {
		if !scored.Full {
			most = max(most, scored.Candidate.likely())
		}
	}
	best, drawn := -1, map[group]int{}
	for _, place := range random.Perm(len(scoredCandidates)) {
		scored := scoredCandidates[place]
		from := group{most > 0 && scored.Candidate.likely() >= mostPart*most, scored.Candidate.Zone == requirements.Zone}
		if scored.Full || drawn[from] >= quotas[from] {
			continue
		}
		drawn[from]++
		if best < 0 || scored.Net > scoredCandidates[best].Net {
			best = place
		}
	}
	return best
}

func noRunner(requirements Requirements, schedulingContext SchedulingContext) Decision {
	// A runner that is only paused or warming may come within the latency target; without any there is nothing to wait for.
	for _, candidate := range schedulingContext.Candidates {
		if candidate.Reason != load.ReasonLeaving && !requirements.Shut[candidate.ID] && requirements.Waited < requirements.bound() {
			return Decision{Kind: Enqueue, Reason: "every fit runner is paused or warming"}
		}
	}
	// A runner that is only left alone for a while tells when to come back; where there is none at all the
	// queue's own pace is all that is known.
	retry := seconds(schedulingContext.Prices.PlaceSeconds)
	for _, candidate := range schedulingContext.Candidates {
		if candidate.Reason != load.ReasonLeaving && candidate.Until.After(schedulingContext.Now) {
			retry = min(retry, candidate.Until.Sub(schedulingContext.Now))
		}
	}
	return Decision{Kind: Reject, Fault: apierror.NoRunner, RetryAfter: max(leastComeback, retry), Reason: "no runner that the spec allows is fit"}
}

// wait lets a prompt wait if its turn should come within its latency target, and refuses it at once otherwise.
func wait(requirements Requirements, schedulingContext SchedulingContext, scoredCandidates []ScoredCandidate, overConcurrencyLimit bool) Decision {
	least := math.Inf(1)
	for _, scored := range scoredCandidates {
		least = min(least, scored.Candidate.Prefill)
	}
	turn := max(1, schedulingContext.Doubt) * float64(schedulingContext.Ahead+1) * schedulingContext.Prices.PlaceSeconds / max(1, schedulingContext.Slots)
	predicted := seconds(turn + least)
	if requirements.Waited+predicted <= requirements.bound() || schedulingContext.Patient && requirements.Waited < requirements.bound() {
		return Decision{Kind: Enqueue, Predicted: predicted, Reason: "every fit runner is full"}
	}
	step := Decision{Kind: Reject, Fault: apierror.LatencyTargetMissed, Predicted: predicted, RetryAfter: max(time.Second, predicted-requirements.bound()),
		Reason: "the first event would come later than the lane's patience"}
	if overConcurrencyLimit {
		step.Fault, step.Reason = apierror.ConcurrencyLimitReached, "the lane holds its share of the pool and others wait"
	}
	return step
}

func seconds(value float64) time.Duration {
	return time.Duration(min(value, 3600) * float64(time.Second))
}
