package node

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// ChainLimit bounds the chain, so that no change has to be synced by every disk of a large fleet.
func (node *Node) ChainLimit() int { return max(leastChain, 2*node.settings.Faults+1) }

// floor gives the fewest copies that a change needs: one more than may be lost, but not more than there
// ever were. It only rises.
func (node *Node) floor(present uint32, members int) uint32 {
	return max(present, uint32(min(node.settings.Faults+1, members)))
}

// silentTo tells whether a member is gone: most acceptors are heard to say that they don't hear it, and none that it does.
// Whoever was cut off itself hears no such majority when it comes back, and so takes nobody out.
func (node *Node) silentTo(now time.Time, id string) bool {
	current, silent := node.agent.Current(), 0
	for _, acceptor := range current.Acceptors {
		if acceptor.Id == id || !node.fresh(now, acceptor.Id) {
			continue
		}
		if node.hears(now, acceptor.Id, id) {
			return false
		}
		silent++
	}
	return silent >= view.Majority(len(current.Acceptors))
}

// lost tells whether a member is no longer there, or of no use: nobody hears it, or its disk fails.
func (node *Node) lost(now time.Time, id string) bool {
	if id == node.self.Id {
		return node.unhealthy(now)
	}
	peer := node.peers[id]
	return node.silentTo(now, id) || peer != nil && node.fresh(now, id) && peer.heartbeat.Unhealthy
}

// leaves tells whether a member that is heard is about to stop by order.
func (node *Node) leaves(now time.Time, id string) bool {
	if id == node.self.Id {
		return node.leaving()
	}
	peer := node.peers[id]
	return peer != nil && node.fresh(now, id) && peer.heartbeat.Decommissioning
}

// unfit tells whether a machine should be given no place.
func (node *Node) unfit(now time.Time, id string) bool {
	return node.lost(now, id) || node.leaves(now, id)
}

// mended gives the view that should follow, or nil if the present one is right.
func (node *Node) mended(now time.Time) *wire.View {
	current := node.agent.Current()
	next := &wire.View{Epoch: current.Epoch + 1, Fleet: current.Fleet}
	next.Chain = node.withoutLeaving(now, node.withoutBroken(now, node.withoutLost(now, current.Chain)))
	changed := len(next.Chain) != len(current.Chain)
	for joiner := node.joiner(now, next.Chain); joiner != nil; joiner = node.joiner(now, next.Chain) {
		next.Chain = append(next.Chain, joiner)
		changed = true
	}
	next.MinReplicas = node.floor(current.MinReplicas, node.staying(now, next.Chain))
	// Whoever is left holds all that was acknowledged. A chain below its floor takes no changes, but
	// it teaches those who come back; waiting for a lost member instead would stop it for good.
	if len(next.Chain) == 0 || !node.holdsAll(current.Chain, next.Chain) {
		next.Chain, changed = current.Chain, false
		if survivors := node.survivors(now, current); len(survivors) > 0 {
			next.Chain, changed = survivors, true
		}
	}
	next.LastWritableChain = reserveOf(current, next)
	acceptors, replaced := node.mendedAcceptors(now, next.Chain)
	next.Acceptors = acceptors
	if !changed && !replaced {
		return nil
	}
	next.HeadTerm, next.PreviousHead, next.PreviousTerm = current.HeadTerm, current.PreviousHead, current.PreviousTerm
	if next.Chain[0].Id != current.Chain[0].Id {
		next.HeadTerm, next.PreviousHead, next.PreviousTerm = next.Epoch, current.Chain[0], current.HeadTerm
	}
	return next
}

// reserveOf gives the members of the last chain that took changes, for as long as the chain is shorter than its floor.
func reserveOf(current, next *wire.View) []*wire.Member {
	if len(next.Chain) >= int(next.MinReplicas) {
		return nil
	}
	if len(current.Chain) >= int(current.MinReplicas) {
		return current.Chain
	}
	return current.LastWritableChain
}

// survivors gives the machines that may go on where every member of a chain that was too short to take changes has
// lost its disk: those of the last chain that took some. What was acknowledged was so in that chain or before it, and
// each of its members held it; they keep their order, since each history begins with its successor's. A member that is
// only silent may come back with its disk, so nobody goes on without it.
func (node *Node) survivors(now time.Time, current *wire.View) []*wire.Member {
	for _, member := range current.Chain {
		if !node.replacedAt(member) {
			return nil
		}
	}
	var survivors []*wire.Member
	for _, member := range current.LastWritableChain {
		if !holds(current.Chain, member.Id) && node.fresh(now, member.Id) && !node.unfit(now, member.Id) {
			survivors = append(survivors, member)
		}
	}
	return survivors
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
	return peer != nil && !peer.heartbeat.Incomplete
}

// staying counts the members that do not leave; copies that are about to go must not raise the floor.
func (node *Node) staying(now time.Time, members []*wire.Member) int {
	count := 0
	for _, member := range members {
		if !node.leaves(now, member.Id) {
			count++
		}
	}
	return count
}

// withoutLost gives the members that are not lost.
func (node *Node) withoutLost(now time.Time, members []*wire.Member) []*wire.Member {
	var left []*wire.Member
	for _, member := range members {
		if !node.lost(now, member.Id) {
			left = append(left, member)
		}
	}
	return left
}

// withoutLeaving takes out members that leave, one by one, as long as enough of the others hold all that it holds:
// the floor where a machine outside could still join, at least one where none could.
func (node *Node) withoutLeaving(now time.Time, members []*wire.Member) []*wire.Member {
	least := 1
	if node.successors(now, node.agent.Current().Chain) > 0 {
		least = max(least, int(node.agent.Current().MinReplicas))
	}
	for _, leaver := range members {
		if !node.leaves(now, leaver.Id) {
			continue
		}
		if left := without(members, leaver.Id); node.copies(members, leaver) >= least {
			members = left
		}
	}
	return members
}

// copies counts the other members of a chain that hold everything which a member of it holds. Those before it do. Of
// those behind it a change committed in this view needs every one, so they do once they have synced what it had when
// the view began.
func (node *Node) copies(members []*wire.Member, leaver *wire.Member) int {
	copies, behind := 0, false
	for _, member := range members {
		if member.Id == leaver.Id {
			behind = true
			continue
		}
		if !behind || node.caughtUp(member.Id, leaver.Id) {
			copies++
		}
	}
	return copies
}

// caughtUp tells whether a member has said in the present view that it has synced what another had at its beginning.
func (node *Node) caughtUp(id, other string) bool {
	synced, _, told := node.progress(id)
	_, initial, otherTold := node.progress(other)
	return told && otherTold && synced >= initial
}

// progress gives how far a member has synced and how far it had when the present view began, if it has told.
func (node *Node) progress(id string) (synced, initial uint64, told bool) {
	if id == node.self.Id {
		return node.chain.Synced(), node.initialSynced, true
	}
	peer := node.peers[id]
	if peer == nil || peer.heartbeat.View != node.agent.Current().Epoch {
		return 0, 0, false
	}
	return peer.heartbeat.Synced, peer.initialSynced, true
}

// without gives the members but one.
func without(members []*wire.Member, id string) []*wire.Member {
	var left []*wire.Member
	for _, member := range members {
		if member.Id != id {
			left = append(left, member)
		}
	}
	return left
}

// successors counts the live machines that have no place among some members and could take one, also those that have
// not learned anything yet.
func (node *Node) successors(now time.Time, members []*wire.Member) int {
	count := 0
	for id := range node.peers {
		if !holds(members, id) && node.fresh(now, id) && !node.unfit(now, id) {
			count++
		}
	}
	if !holds(members, node.self.Id) && !node.unfit(now, node.self.Id) {
		count++
	}
	return count
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
		if now.Sub(node.brokenFrom[key]) >= node.bounds.Broken {
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
			member, learned = node.peers[id].member, node.peers[id].heartbeat.LearnedView
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
