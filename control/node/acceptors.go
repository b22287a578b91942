package node

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// acceptorCount is how many acceptors there should be: most of them are left when Faults disks are lost.
func (node *Node) acceptorCount() int { return 2*node.settings.Faults + 1 }

// mendedAcceptors puts live machines in the places of acceptors that are gone, adds some where there are too
// few, and moves one where most stand in one zone for no need.
func (node *Node) mendedAcceptors(now time.Time, members []*wire.Member) ([]*wire.Member, bool) {
	present := node.agent.Current().Acceptors
	candidates := node.acceptorCandidates(now, members)
	next, changed := append([]*wire.Member{}, present...), false
	for place, acceptor := range present {
		if !node.acceptorGone(now, acceptor) {
			continue
		}
		if taken := take(&candidates, append(append([]*wire.Member{}, next[:place]...), next[place+1:]...)); taken != nil {
			next[place], changed = taken, true
		}
	}
	if vacant := node.vacated(now, next); vacant != nil {
		next, changed = without(next, vacant.Id), true
	}
	for len(next) < node.acceptorCount() {
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

// vacated gives a acceptor that leaves with nobody to take its seat, where the others could agree with one vote less
// without it: an even number of acceptors. In an odd number the seat does no harm, and is there for it to come back to.
func (node *Node) vacated(now time.Time, acceptors []*wire.Member) *wire.Member {
	if len(acceptors)%2 != 0 {
		return nil
	}
	for _, acceptor := range acceptors {
		if node.leaves(now, acceptor.Id) {
			return acceptor
		}
	}
	return nil
}

// acceptorGone tells whether there is evidence that a acceptor's seat should go to another machine: its address has a new
// identity, it leaves by order, its disk fails, or most acceptors do not hear it. A acceptor that was silent only for a
// moment loses its seat to a live machine, which is as good a acceptor; without one it keeps the seat.
func (node *Node) acceptorGone(now time.Time, acceptor *wire.Member) bool {
	return node.unfit(now, acceptor.Id) || acceptor.Id != node.self.Id && node.replacedAt(acceptor)
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

// acceptorCandidates lists the machines that could be acceptors and are none: those of the chain first.
func (node *Node) acceptorCandidates(now time.Time, members []*wire.Member) []*wire.Member {
	var others []*wire.Member
	for id, peer := range node.peers {
		if !holds(members, id) {
			others = append(others, peer.member)
		}
	}
	sort.Slice(others, func(left, right int) bool { return others[left].Id < others[right].Id })
	var candidates []*wire.Member
	for _, member := range append(append([]*wire.Member{}, members...), others...) {
		if node.acceptorCandidate(now, member.Id) {
			candidates = append(candidates, member)
		}
	}
	return candidates
}

// acceptorCandidate tells whether a machine keeps nothing yet, has learned the present view, is to stay, and is heard by
// most acceptors, which it will have to vote with.
func (node *Node) acceptorCandidate(now time.Time, id string) bool {
	current := node.agent.Current()
	if keeps(current, id) || !node.fresh(now, id) || node.unfit(now, id) {
		return false
	}
	if peer := node.peers[id]; peer != nil && peer.heartbeat.View != current.Epoch {
		return false
	}
	hearing := 0
	for _, acceptor := range current.Acceptors {
		if node.fresh(now, acceptor.Id) && node.hears(now, acceptor.Id, id) {
			hearing++
		}
	}
	return hearing >= view.Majority(len(current.Acceptors))
}

// take gives, and takes out of the candidates, the first from a zone with the fewest acceptors.
func take(candidates *[]*wire.Member, acceptors []*wire.Member) *wire.Member {
	crowds, best := crowds(acceptors), -1
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

// growing tells whether machines are there that could be acceptors and are not yet. While it grows, the loss
// of Faults disks could still take most acceptors, so nothing is acknowledged.
func (node *Node) growing(now time.Time) bool {
	current := node.agent.Current()
	return len(current.Acceptors) < node.acceptorCount() && len(node.acceptorCandidates(now, current.Chain)) > 0
}

// spread tells whether no zone has most of the acceptors.
func spread(acceptors []*wire.Member) bool {
	zones := map[string]int{}
	for _, acceptor := range acceptors {
		zones[acceptor.Zone]++
		if len(acceptors) >= 3 && zones[acceptor.Zone] >= view.Majority(len(acceptors)) {
			return false
		}
	}
	return true
}
