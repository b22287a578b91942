package reconfiguration

import (
	"time"

	"wardtray/control/membership"
	"wardtray/wire"
)

// minimumChainLimit is how long a chain may always grow.
const minimumChainLimit = 5

// link is a pair of neighbours in the chain.
type link struct{ left, right string }

// Planner derives the next view. Its only state is since when links of the chain are broken in the present view.
type Planner struct {
	// linkTimeout is for how long one side of a link must not hear the other before one of them is excluded.
	linkTimeout time.Duration
	brokenSince map[link]time.Time
}

// NewPlanner returns a planner that knows of no broken link.
func NewPlanner(linkTimeout time.Duration) *Planner {
	return &Planner{linkTimeout: linkTimeout, brokenSince: map[link]time.Time{}}
}

// Reset forgets the broken links of the view before.
func (planner *Planner) Reset() { planner.brokenSince = map[link]time.Time{} }

// Plan notes which links of the chain are broken, and returns the view that should follow, or nil if the present one is
// right.
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
	// Whoever is left holds all that was acknowledged. A chain below its minimum takes no changes, but
	// it teaches those who come back; waiting for a failed member instead would stop it for good.
	if len(next.Chain) == 0 || !facts.holdAll(current.Chain, next.Chain) {
		next.Chain, changed = current.Chain, false
		if survivors := facts.survivors(); len(survivors) > 0 {
			next.Chain, changed = survivors, true
		}
	}
	return changed
}

// excludeBroken excludes the later end of a link over which one side has not heard the other for the timeout.
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

// isBroken reports whether both ends of a link are alive and one does not hear the other.
func (facts *Facts) isBroken(pair link) bool {
	return facts.isAlive(pair.left) && facts.isAlive(pair.right) &&
		!(facts.hears(pair.left, pair.right) && facts.hears(pair.right, pair.left))
}

// lastWritableChain returns the members of the last chain that took changes, for as long as the chain is shorter than
// its minimum.
func lastWritableChain(current, next *wire.View) []*wire.Member {
	if len(next.Chain) >= int(next.MinReplicas) {
		return nil
	}
	if len(current.Chain) >= int(current.MinReplicas) {
		return current.Chain
	}
	return current.LastWritableChain
}
