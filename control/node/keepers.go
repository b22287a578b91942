package node

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
	if vacant := node.vacated(now, next); vacant != nil {
		next, changed = without(next, vacant.Id), true
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

// vacated gives a keeper that leaves with nobody to take its seat, where the others could agree with one vote less
// without it: an even number of keepers. In an odd number the seat does no harm, and is there for it to come back to.
func (node *Node) vacated(now time.Time, keepers []*wire.Member) *wire.Member {
	if len(keepers)%2 != 0 {
		return nil
	}
	for _, keeper := range keepers {
		if node.leaves(now, keeper.Id) {
			return keeper
		}
	}
	return nil
}

// keeperGone tells whether there is evidence that a keeper's seat should go to another machine: its address has a new
// identity, it leaves by order, its disk fails, or most keepers do not hear it. A keeper that was silent only for a
// moment loses its seat to a live machine, which is as good a keeper; without one it keeps the seat.
func (node *Node) keeperGone(now time.Time, keeper *wire.Member) bool {
	return node.unfit(now, keeper.Id) || keeper.Id != node.self.Id && node.replacedAt(keeper)
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

// keeperCandidates lists the machines that could be keepers and are none: those of the chain first.
func (node *Node) keeperCandidates(now time.Time, members []*wire.Member) []*wire.Member {
	var others []*wire.Member
	for id, peer := range node.peers {
		if !holds(members, id) {
			others = append(others, peer.member)
		}
	}
	sort.Slice(others, func(left, right int) bool { return others[left].Id < others[right].Id })
	var candidates []*wire.Member
	for _, member := range append(append([]*wire.Member{}, members...), others...) {
		if node.keeperCandidate(now, member.Id) {
			candidates = append(candidates, member)
		}
	}
	return candidates
}

// keeperCandidate tells whether a machine keeps nothing yet, has learned the present view, is to stay, and is heard by
// most keepers, which it will have to vote with.
func (node *Node) keeperCandidate(now time.Time, id string) bool {
	current := node.agent.Current()
	if keeps(current, id) || !node.fresh(now, id) || node.unfit(now, id) {
		return false
	}
	if peer := node.peers[id]; peer != nil && peer.beat.View != current.Epoch {
		return false
	}
	hearing := 0
	for _, keeper := range current.Keepers {
		if node.fresh(now, keeper.Id) && node.hears(now, keeper.Id, id) {
			hearing++
		}
	}
	return hearing >= view.Majority(len(current.Keepers))
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
