package reconfiguration

import (
	"time"

	"wardtray/control/membership"
	"wardtray/wire"
)

// minimumChainLimit is the number of members to which a chain may grow whatever the value of Faults.
const minimumChainLimit = 5

// link is a pair of neighbours in the chain.
type link struct{ left, right string }

// Planner derives the next view. Its only state is the time since which each broken link of the current chain has been
// broken.
type Planner struct {
	// linkTimeout is the time for which a link must have been broken before its later member is excluded.
	linkTimeout time.Duration
	brokenSince map[link]time.Time
}

// NewPlanner returns a planner without broken links.
func NewPlanner(linkTimeout time.Duration) *Planner {
	return &Planner{linkTimeout: linkTimeout, brokenSince: map[link]time.Time{}}
}

// Reset discards the broken links of the previous view.
func (planner *Planner) Reset() { planner.brokenSince = map[link]time.Time{} }

// Plan updates the broken links, and returns the view that should follow, or nil if the current one needs no change.
func (planner *Planner) Plan(facts *Facts) *wire.View {
	current := facts.View
	next := &wire.View{Epoch: current.Epoch + 1, Fleet: current.Fleet}
	chainChanged := planner.planChain(facts, next)
	next.LastWritableChain = lastWritableChain(current, next)
	acceptors, acceptorsChanged := facts.nextAcceptors(next.Chain)
	next.Acceptors = acceptors
	if !chainChanged && !acceptorsChanged {
		return nil
	}
	next.HeadTerm, next.PreviousHead, next.PreviousTerm = current.HeadTerm, current.PreviousHead, current.PreviousTerm
	if next.Chain[0].Id != current.Chain[0].Id {
		next.HeadTerm, next.PreviousHead, next.PreviousTerm = next.Epoch, current.Chain[0], current.HeadTerm
	}
	return next
}

// planChain sets the chain of the next view and its MinReplicas, and reports whether the chain changes.
func (planner *Planner) planChain(facts *Facts, next *wire.View) (changed bool) {
	current := facts.View
	connected := planner.excludeBroken(facts, facts.excludeFailed(current.Chain))
	next.Chain = facts.excludeDecommissioning(connected)
	changed = len(next.Chain) != len(current.Chain)
	for joiner := facts.joiner(next.Chain); joiner != nil; joiner = facts.joiner(next.Chain) {
		next.Chain = append(next.Chain, joiner)
		changed = true
	}
	next.MinReplicas = facts.MinReplicas(current.MinReplicas, facts.remainingCount(next.Chain))
	// If the remaining members hold everything that was acknowledged, they form the chain, even one below its minimum:
	// it accepts no changes, but processes that return learn the document from it. Waiting for a failed member instead
	// could stop the chain forever.
	if len(next.Chain) == 0 || !facts.holdAllCommitted(current.Chain, next.Chain) {
		next.Chain, changed = current.Chain, false
		if survivors := facts.survivors(); len(survivors) > 0 {
			next.Chain, changed = survivors, true
		}
	}
	return changed
}

// excludeBroken excludes the later member of the first link that has been broken for the timeout.
func (planner *Planner) excludeBroken(facts *Facts, members []*wire.Member) []*wire.Member {
	for index := 0; index+1 < len(members); index++ {
		pair := link{left: members[index].Id, right: members[index+1].Id}
		if !facts.isBroken(pair) {
			delete(planner.brokenSince, pair)
			continue
		}
		if planner.brokenSince[pair].IsZero() {
			planner.brokenSince[pair] = facts.Now
		}
		if facts.Now.Sub(planner.brokenSince[pair]) >= planner.linkTimeout {
			return membership.WithoutIndex(members, index+1)
		}
	}
	return members
}

// isBroken reports whether both ends of a link are alive and at least one does not hear the other.
func (facts *Facts) isBroken(pair link) bool {
	return facts.isAlive(pair.left) && facts.isAlive(pair.right) &&
		!(facts.hears(pair.left, pair.right) && facts.hears(pair.right, pair.left))
}

// lastWritableChain returns the members of the last chain that accepted changes, or nil if the next chain itself is not
// shorter than its minimum.
func lastWritableChain(current, next *wire.View) []*wire.Member {
	if len(next.Chain) >= int(next.MinReplicas) {
		return nil
	}
	if len(current.Chain) >= int(current.MinReplicas) {
		return current.Chain
	}
	return current.LastWritableChain
}
