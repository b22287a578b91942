package reconfiguration

import (
	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// nextAcceptors puts live processes into the slots of acceptors that are gone, adds some where there are too few, and
// moves one slot where most are in one zone without need.
func (facts *Facts) nextAcceptors(chain []*wire.Member) (next []*wire.Member, changed bool) {
	candidates := facts.acceptorCandidates(chain)
	next, changed = facts.replaceAcceptors(&candidates)
	if vacant := facts.vacantSlot(next); vacant != nil {
		next, changed = membership.Without(next, vacant.Id), true
	}
	for len(next) < facts.AcceptorCount() {
		candidate := takeCandidate(&candidates, next)
		if candidate == nil {
			break
		}
		next, changed = append(next, candidate), true
	}
	if changed || isSpread(next) {
		return next, changed
	}
	if spread := spreadAcceptors(next, candidates); spread != nil {
		return spread, true
	}
	return next, false
}

// replaceAcceptors puts candidates into the slots of acceptors that should lose theirs.
func (facts *Facts) replaceAcceptors(candidates *[]*wire.Member) (next []*wire.Member, changed bool) {
	next = membership.Join(facts.View.Acceptors)
	for index, acceptor := range facts.View.Acceptors {
		if !facts.losesSlot(acceptor) {
			continue
		}
		if candidate := takeCandidate(candidates, membership.WithoutIndex(next, index)); candidate != nil {
			next[index], changed = candidate, true
		}
	}
	return next, changed
}

// spreadAcceptors returns the acceptors with one of them exchanged for a candidate, the last where that is enough, so
// that no zone has a majority; nil if no exchange achieves that.
func spreadAcceptors(acceptors, candidates []*wire.Member) []*wire.Member {
	for index := len(acceptors) - 1; index >= 0; index-- {
		moved := membership.WithoutIndex(acceptors, index)
		left := membership.Join(candidates)
		candidate := takeCandidate(&left, moved)
		if candidate == nil {
			continue
		}
		if moved = append(moved, candidate); isSpread(moved) {
			return moved
		}
	}
	return nil
}

// vacantSlot returns an acceptor that was ordered to stop with nobody to take its slot, where the others could agree
// with one vote less without it: an even number of acceptors. In an odd number the slot does no harm, and is there for
// it to come back to. It returns nil if there is none.
func (facts *Facts) vacantSlot(acceptors []*wire.Member) *wire.Member {
	if len(acceptors)%2 != 0 {
		return nil
	}
	for _, acceptor := range acceptors {
		if facts.isDecommissioning(acceptor.Id) {
			return acceptor
		}
	}
	return nil
}

// losesSlot reports whether there is evidence that an acceptor's slot should go to another process: its address has a
// new identity, it was ordered to stop, its disk fails, or most acceptors do not hear it. An acceptor that was silent
// only for a moment loses its slot to a live process, which is as good an acceptor; without one it keeps the slot.
func (facts *Facts) losesSlot(acceptor *wire.Member) bool {
	return facts.isIneligible(acceptor.Id) || !facts.isSelf(acceptor.Id) && facts.Detector.IsReplaced(acceptor)
}

// acceptorCandidates lists the processes that could be acceptors and are none: those of the chain first.
func (facts *Facts) acceptorCandidates(chain []*wire.Member) []*wire.Member {
	considered := membership.Join(chain)
	for _, peer := range facts.Detector.Peers() {
		if !membership.Contains(chain, peer.Member.Id) {
			considered = append(considered, peer.Member)
		}
	}
	var candidates []*wire.Member
	for _, member := range considered {
		if facts.isAcceptorCandidate(member.Id) {
			candidates = append(candidates, member)
		}
	}
	return candidates
}

// isAcceptorCandidate reports whether a process is no acceptor yet, has learned the present view, is to stay, and is
// heard by most acceptors, with which it will have to vote.
func (facts *Facts) isAcceptorCandidate(id string) bool {
	current := facts.View
	if membership.IsAcceptor(current, id) || !facts.isAlive(id) || facts.isIneligible(id) {
		return false
	}
	if peer := facts.Detector.Peer(id); peer != nil && peer.Heartbeat.View != current.Epoch {
		return false
	}
	hearing := 0
	for _, acceptor := range current.Acceptors {
		if facts.isAlive(acceptor.Id) && facts.hears(acceptor.Id, id) {
			hearing++
		}
	}
	return hearing >= view.Majority(len(current.Acceptors))
}

// IsGrowing reports whether there are processes that could be acceptors and are not yet. Meanwhile the loss of Faults
// disks could still take a majority of the acceptors, so nothing is acknowledged.
func (facts *Facts) IsGrowing() bool {
	return len(facts.View.Acceptors) < facts.AcceptorCount() && len(facts.acceptorCandidates(facts.View.Chain)) > 0
}

// takeCandidate removes from the candidates the first one from a zone with the fewest acceptors, and returns it; nil
// if there is no candidate.
func takeCandidate(candidates *[]*wire.Member, acceptors []*wire.Member) *wire.Member {
	counts, best := membership.ZoneCounts(acceptors), -1
	for index, candidate := range *candidates {
		if best < 0 || counts[candidate.Zone] < counts[(*candidates)[best].Zone] {
			best = index
		}
	}
	if best < 0 {
		return nil
	}
	taken := (*candidates)[best]
	*candidates = membership.WithoutIndex(*candidates, best)
	return taken
}
