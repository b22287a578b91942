package directory

import (
	"time"

	"wardtray/coordination/chain"
	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// LearnInterval is the time between two requests for the document by a process outside the chain, until it has
	// received the document in the current view.
	LearnInterval = 300 * time.Millisecond
	// refreshInterval is the time between two requests after that.
	refreshInterval = time.Second
)

// Learner keeps a process outside the chain up to date, so that it can join the chain without delay.
type Learner struct {
	agent       *view.Agent
	chain       *chain.Chain
	addressOf   func(member *wire.Member) string
	lastRequest time.Time
}

// NewLearner returns a learner whose first request is due at once. addressOf returns the address of a member.
func NewLearner(agent *view.Agent, history *chain.Chain, addressOf func(member *wire.Member) string) *Learner {
	return &Learner{agent: agent, chain: history, addressOf: addressOf}
}

// Expedite makes the next request due at once.
func (learner *Learner) Expedite() { learner.lastRequest = time.Time{} }

// Tick requests the complete document from the tail if that is due. A process that is being decommissioned requests
// nothing more.
func (learner *Learner) Tick(now time.Time, isDecommissioning bool) {
	current := learner.agent.Current()
	if current.Epoch == 0 || len(current.Chain) == 0 || learner.chain.IsMember() || isDecommissioning {
		return
	}
	interval := LearnInterval
	if learner.chain.LearnedView() == current.Epoch {
		interval = refreshInterval
	}
	if now.Sub(learner.lastRequest) < interval {
		return
	}
	learner.lastRequest = now
	tail := current.Chain[len(current.Chain)-1]
	learner.chain.RequestDocument(learner.addressOf(tail))
}
