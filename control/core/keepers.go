package core

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// keeperCount is how many keepers there should be: most of them are left when Faults disks are lost.
func (node *Node) keeperCount() int { return 2*node.startup.Faults + 1 }

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
