package directory

import (
	"time"

	"wardtray/coordination/chain"
	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// LearnInterval is how often a process outside the chain asks for the document until it has it in the present view.
	LearnInterval = 300 * time.Millisecond
	// refreshInterval is how often it asks again once it has.
	refreshInterval = time.Second
)

// Learner keeps a process outside the chain up to date, so that it may join the chain at once.
type Learner struct {
	agent       *view.Agent
	chain       *chain.Chain
	addressOf   func(member *wire.Member) string
	lastRequest time.Time
}

// NewLearner returns a learner that has requested nothing.
func NewLearner(agent *view.Agent, history *chain.Chain, addressOf func(member *wire.Member) string) *Learner {
	return &Learner{agent: agent, chain: history, addressOf: addressOf}
}

// Expedite makes the next request due at once.
func (learner *Learner) Expedite() { learner.lastRequest = time.Time{} }

// Tick asks the tail for the whole document if that is due. A process that is decommissioned learns nothing any more.
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
