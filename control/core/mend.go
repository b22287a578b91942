package core

import (
	"encoding/hex"
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	brokenAfter = 700 * time.Millisecond
	stagger     = 400 * time.Millisecond
	// leastChain is how long a chain may always grow.
	leastChain = 5
)

// keeperCount is how many keepers there should be: most of them are left when Faults disks are lost.
func (node *Node) keeperCount() int { return 2*node.startup.Faults + 1 }

// ChainLimit bounds the chain, so that no change has to be synced by every disk of a large fleet.
func (node *Node) ChainLimit() int { return max(leastChain, 2*node.startup.Faults+1) }

// tendView founds the first view, finishes a vote left open, or proposes a view that mends the
// present one.
func (node *Node) tendView(now time.Time) {
	if node.agent.Busy(now) {
		return
	}
	current := node.agent.Current()
	if current.Epoch == 0 {
		node.tendFounding(now)
		return
	}
	if !keeps(current, node.self.Id) {
		return
	}
	if node.agent.Voted() {
		// A keeper that has voted grants no claims, so a vote left open must be brought to its end by somebody.
		if node.votedSince.IsZero() {
			node.votedSince = now
		}
		if now.Sub(node.votedSince) >= node.turn(now)+stagger {
			node.votedSince = now
			node.agent.Propose(now, node.agent.Vote().Value)
		}
		return
	}
	node.votedSince = time.Time{}
	// Whoever has just begun has heard nobody yet, which says nothing about them.
	if now.Sub(node.begun) < suspicion {
		return
	}
	wanted := node.mended(now)
	if wanted == nil {
		node.wantSince = time.Time{}
		return
	}
	if node.wantSince.IsZero() {
		node.wantSince = now
	}
	if now.Sub(node.wantSince) >= node.turn(now) && now.Sub(node.lastMend) >= stagger {
		node.lastMend = now
		node.agent.Propose(now, wanted)
	}
}

// turn gives how long this keeper lets others go first: nothing for the first live one in order.
func (node *Node) turn(now time.Time) time.Duration {
	rank := time.Duration(0)
	for _, keeper := range node.agent.Current().Keepers {
		if keeper.Id == node.self.Id {
			break
		}
		if node.fresh(now, keeper.Id) {
			rank++
		}
	}
	return rank * stagger
}

// tendFounding proposes the first view once every founder is there and blank.
func (node *Node) tendFounding(now time.Time) {
	if !node.acceptor() || now.Sub(node.lastMend) < stagger {
		return
	}
	founders := []*wire.Member{node.self}
	for _, peer := range node.peers {
		if node.founder(peer.member.Address) {
			if !peer.beat.Blank || now.Sub(peer.heard) >= suspicion {
				return
			}
			founders = append(founders, peer.member)
		}
	}
	sort.Slice(founders, func(left, right int) bool { return founders[left].Address < founders[right].Address })
	if len(founders) != len(node.startup.Founders) {
		return
	}
	// One proposer is enough; the others come in only if its attempts fail for long.
	if founders[0].Id != node.self.Id && now.Sub(node.begun) < 5*time.Second {
		return
	}
	node.lastMend = now
	fleet := make([]byte, 8)
	for place := range fleet {
		fleet[place] = byte(node.random.Intn(256))
	}
	node.agent.Found(now, &wire.View{Epoch: 1, Fleet: hex.EncodeToString(fleet), Chain: founders,
		Keepers: founders[:min(len(founders), node.keeperCount())], Floor: node.floor(0, len(founders)), HeadSince: 1}, founders)
}

// floor gives the fewest copies that a change needs: one more than may be lost, but not more than there
// ever were. It only rises.
func (node *Node) floor(present uint32, members int) uint32 {
	return max(present, uint32(min(node.startup.Faults+1, members)))
}

// fresh tells whether a member was heard of late; this machine always hears itself.
func (node *Node) fresh(now time.Time, id string) bool {
	peer := node.peers[id]
	return id == node.self.Id || peer != nil && !peer.gone && now.Sub(peer.heard) < suspicion
}

// hears tells whether one member says that it hears another; silent is the answer where nobody knows.
func (node *Node) hears(now time.Time, who, whom string) bool {
	if who == whom {
		return true
	}
	if who == node.self.Id {
		return node.fresh(now, whom)
	}
	peer := node.peers[who]
	if peer == nil {
		return false
	}
	for _, id := range peer.beat.Heard {
		if id == whom {
			return true
		}
	}
	return false
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
	if len(next.Chain) == 0 {
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

// mendedKeepers puts live machines in the places of keepers that are gone, adds some where there are too
// few, and moves one where most stand in one zone for no need.
func (node *Node) mendedKeepers(now time.Time, members []*wire.Member) ([]*wire.Member, bool) {
	present := node.agent.Current().Keepers
	candidates := node.keeperCandidates(now, members)
	next, changed := append([]*wire.Member{}, present...), false
	for place, keeper := range present {
		if !node.keeperGone(now, keeper) {
			continue
		}
		if taken := take(&candidates, append(append([]*wire.Member{}, next[:place]...), next[place+1:]...)); taken != nil {
			next[place], changed = taken, true
		}
	}
	for len(next) < node.keeperCount() {
		taken := take(&candidates, next)
		if taken == nil {
			break
		}
		next, changed = append(next, taken), true
	}
	if changed || spread(next) {
		return next, changed
	}
	for place := len(next) - 1; place >= 0; place-- {
		moved := append(append([]*wire.Member{}, next[:place]...), next[place+1:]...)
		left := append([]*wire.Member{}, candidates...)
		if taken := take(&left, moved); taken != nil && spread(append(moved, taken)) {
			return append(moved, taken), true
		}
	}
	return next, false
}

// keeperGone tells whether a keeper will hardly come back: it was silent for long, or its address has another disk now.
func (node *Node) keeperGone(now time.Time, keeper *wire.Member) bool {
	if keeper.Id == node.self.Id {
		return false
	}
	peer, quiet := node.peers[keeper.Id], now.Sub(node.begun)
	if peer != nil {
		quiet = now.Sub(peer.heard)
	}
	return (quiet > keeperBound || node.replacedAt(keeper)) && node.silentTo(now, keeper.Id)
}

// replacedAt tells whether another identity speaks from a member's address.
func (node *Node) replacedAt(member *wire.Member) bool {
	for id, peer := range node.peers {
		if id != member.Id && peer.member.Address == member.Address {
			return true
		}
	}
	return false
}

// keeperCandidates lists live machines that know the present view and keep none: those of the chain first.
func (node *Node) keeperCandidates(now time.Time, members []*wire.Member) []*wire.Member {
	current := node.agent.Current()
	var others []*wire.Member
	for id, peer := range node.peers {
		if !holds(members, id) && node.fresh(now, id) && peer.beat.View == current.Epoch && !peer.beat.Leaving && !peer.beat.Sick {
			others = append(others, peer.member)
		}
	}
	sort.Slice(others, func(left, right int) bool { return others[left].Id < others[right].Id })
	var candidates []*wire.Member
	for _, member := range append(append([]*wire.Member{}, members...), others...) {
		if !keeps(current, member.Id) && node.fresh(now, member.Id) {
			candidates = append(candidates, member)
		}
	}
	return candidates
}

// take gives, and takes out of the candidates, the first from a zone with the fewest keepers.
func take(candidates *[]*wire.Member, keepers []*wire.Member) *wire.Member {
	crowds, best := crowds(keepers), -1
	for place, candidate := range *candidates {
		if best < 0 || crowds[candidate.Zone] < crowds[(*candidates)[best].Zone] {
			best = place
		}
	}
	if best < 0 {
		return nil
	}
	taken := (*candidates)[best]
	*candidates = append(append([]*wire.Member{}, (*candidates)[:best]...), (*candidates)[best+1:]...)
	return taken
}

// growing tells whether machines are there that could be keepers and are not yet. While it grows, the loss
// of Faults disks could still take most keepers, so nothing is acknowledged.
func (node *Node) growing(now time.Time) bool {
	current := node.agent.Current()
	return len(current.Keepers) < node.keeperCount() && len(node.keeperCandidates(now, current.Chain)) > 0
}

// spread tells whether no zone has most of the keepers.
func spread(keepers []*wire.Member) bool {
	zones := map[string]int{}
	for _, keeper := range keepers {
		zones[keeper.Zone]++
		if len(keepers) >= 3 && zones[keeper.Zone] >= view.Majority(len(keepers)) {
			return false
		}
	}
	return true
}
