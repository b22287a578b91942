package core

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// ChainLimit bounds the chain, so that no change has to be synced by every disk of a large fleet.
func (node *Node) ChainLimit() int { return max(leastChain, 2*node.startup.Faults+1) }

// floor gives the fewest copies that a change needs: one more than may be lost, but not more than there
// ever were. It only rises.
func (node *Node) floor(present uint32, members int) uint32 {
	return max(present, uint32(min(node.startup.Faults+1, members)))
}

// silentTo tells whether a member is gone: no live keeper hears it, and those are enough to agree on it.
func (node *Node) silentTo(now time.Time, id string) bool {
	current, silent := node.agent.Current(), 0
	for _, keeper := range current.Keepers {
		if keeper.Id == id {
			silent++
			continue
		}
		if !node.fresh(now, keeper.Id) {
			continue
		}
		if node.hears(now, keeper.Id, id) {
			return false
		}
		silent++
	}
	return silent >= view.Majority(len(current.Keepers))
}

// unfit tells whether a member should leave the chain.
func (node *Node) unfit(now time.Time, id string) bool {
	if id == node.self.Id {
		return node.sick(now) || node.leaving
	}
	if node.silentTo(now, id) {
		return true
	}
	peer := node.peers[id]
	return peer != nil && node.fresh(now, id) && (peer.beat.Sick || peer.beat.Leaving)
}

// mended gives the view that should follow, or nil if the present one is right.
func (node *Node) mended(now time.Time) *wire.View {
	current := node.agent.Current()
	next := &wire.View{Epoch: current.Epoch + 1, Fleet: current.Fleet, Floor: current.Floor}
	for _, member := range current.Chain {
		if !node.unfit(now, member.Id) {
			next.Chain = append(next.Chain, member)
		}
	}
	next.Chain = node.withoutBroken(now, next.Chain)
	changed := len(next.Chain) != len(current.Chain)
	for joiner := node.joiner(now, next.Chain); joiner != nil; joiner = node.joiner(now, next.Chain) {
		next.Chain = append(next.Chain, joiner)
		changed = true
	}
	next.Floor = node.floor(current.Floor, len(next.Chain))
	// Whoever is left holds all that was acknowledged. A chain below its floor takes no changes, but
	// it teaches those who come back; waiting for a lost member instead would stop it for good.
	if len(next.Chain) == 0 || !node.holdsAll(current.Chain, next.Chain) {
		next.Chain, changed = current.Chain, false
	}
	keepers, replaced := node.mendedKeepers(now, next.Chain)
	next.Keepers = keepers
	if !changed && !replaced {
		return nil
	}
	next.HeadSince, next.FormerHead, next.FormerSince = current.HeadSince, current.FormerHead, current.FormerSince
	if next.Chain[0].Id != current.Chain[0].Id {
		next.HeadSince, next.FormerHead, next.FormerSince = next.Epoch, current.Chain[0], current.HeadSince
	}
	return next
}

// holdsAll tells whether those who would stay have all that was committed. A member that joined a moment ago may
// lack what was committed since it learned the document. So it is not left alone while one who has all may come back,
// as after a loss of power from which the machines return one by one.
func (node *Node) holdsAll(present, staying []*wire.Member) bool {
	lost := true
	for _, member := range present {
		if holds(staying, member.Id) {
			if node.complete(member.Id) {
				return true
			}
		} else if !node.replacedAt(member) {
			lost = false
		}
	}
	return lost
}

// complete tells whether a member of the chain is known to have all that was committed.
func (node *Node) complete(id string) bool {
	if id == node.self.Id {
		return !node.chain.Incomplete()
	}
	peer := node.peers[id]
	return peer != nil && !peer.beat.Incomplete
}

// withoutBroken takes out the later end of a link over which one side no longer hears the other.
func (node *Node) withoutBroken(now time.Time, members []*wire.Member) []*wire.Member {
	for place := 0; place+1 < len(members); place++ {
		left, right := members[place].Id, members[place+1].Id
		broken := node.fresh(now, left) && node.fresh(now, right) && !(node.hears(now, left, right) && node.hears(now, right, left))
		key := left + ">" + right
		if !broken {
			delete(node.brokenFrom, key)
			continue
		}
		if node.brokenFrom[key].IsZero() {
			node.brokenFrom[key] = now
		}
		if now.Sub(node.brokenFrom[key]) >= brokenAfter {
			return append(append([]*wire.Member{}, members[:place+1]...), members[place+2:]...)
		}
	}
	return members
}

// joiner gives a machine outside the chain that has learned everything and can talk to the tail.
func (node *Node) joiner(now time.Time, members []*wire.Member) *wire.Member {
	if len(members) == 0 || len(members) >= node.ChainLimit() {
		return nil
	}
	current, tail := node.agent.Current(), members[len(members)-1].Id
	ids := make([]string, 0, len(node.peers))
	for id := range node.peers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	crowds := crowds(members)
	var chosen *wire.Member
	for _, id := range append(ids, node.self.Id) {
		if holds(members, id) || holds(current.Chain, id) || node.unfit(now, id) || !node.fresh(now, id) {
			continue
		}
		member, learned := node.self, node.chain.LearnedView()
		if id != node.self.Id {
			member, learned = node.peers[id].member, node.peers[id].beat.LearnedView
		}
		// Copies in many zones outlive the loss of one.
		if learned == current.Epoch && node.hears(now, id, tail) && node.hears(now, tail, id) &&
			(chosen == nil || crowds[member.Zone] < crowds[chosen.Zone]) {
			chosen = member
		}
	}
	return chosen
}

// crowds counts members by zone.
func crowds(members []*wire.Member) map[string]int {
	crowds := map[string]int{}
	for _, member := range members {
		crowds[member.Zone]++
	}
	return crowds
}

// Leave says that this machine is about to stop by order, so that the others take it out first.
func (node *Node) Leave() { node.leaving = true }

// Left tells whether this machine may stop without harm.
func (node *Node) Left() bool { return !node.chain.Inside() }
