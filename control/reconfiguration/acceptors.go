package reconfiguration

import (
	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// nextAcceptors returns the acceptors of the next view, and reports whether they change. It replaces acceptors that
// should lose their slots, removes one that was ordered to stop and has no successor if that lowers the majority, and
// adds acceptors if there are too few. If none of this applies and one zone has a majority, it exchanges one acceptor
// so that no zone has a majority.
func (facts *Facts) nextAcceptors(chain []*wire.Member) (next []*wire.Member, changed bool) {
	candidates := facts.acceptorCandidates(chain)
	next, changed = facts.replaceAcceptors(&candidates)
	if removable := facts.removableAcceptor(next); removable != nil {
		next, changed = membership.Without(next, removable.Id), true
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

// replaceAcceptors replaces each acceptor that should lose its slot with a candidate, if there is one.
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

// spreadAcceptors returns the acceptors with one of them exchanged for a candidate, preferably the last, so that no
// zone has a majority. It returns nil if no single exchange achieves that.
func spreadAcceptors(acceptors, candidates []*wire.Member) []*wire.Member {
	for index := len(acceptors) - 1; index >= 0; index-- {
		remaining := membership.WithoutIndex(acceptors, index)
		available := membership.Join(candidates)
		candidate := takeCandidate(&available, remaining)
		if candidate == nil {
			continue
		}
		if remaining = append(remaining, candidate); isSpread(remaining) {
			return remaining
		}
	}
	return nil
}

// removableAcceptor returns an acceptor that was ordered to stop and has no successor, if the number of acceptors is
// even: the majority needs one vote less without it. If the number is odd, removing the acceptor would not lower the
// majority, so it keeps its slot and can return to it. removableAcceptor returns nil if there is no such acceptor.
func (facts *Facts) removableAcceptor(acceptors []*wire.Member) *wire.Member {
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

// losesSlot reports whether another process should take an acceptor's slot: its address has a new identity, it was
// ordered to stop, its disk is unhealthy, or a majority of the acceptors does not hear it. Even an acceptor that was
// silent only briefly loses its slot to a live process, which serves equally well; it keeps the slot if there is none.
func (facts *Facts) losesSlot(acceptor *wire.Member) bool {
	return facts.isIneligible(acceptor.Id) || !facts.isSelf(acceptor.Id) && facts.Detector.IsReplaced(acceptor)
}

// acceptorCandidates returns the processes that could become acceptors, members of the chain first.
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

// isAcceptorCandidate reports whether a process is not an acceptor yet, is alive and eligible, has learned the current
// view, and is heard by a majority of the acceptors, with which it will have to vote.
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

// IsGrowing reports whether there are too few acceptors and a candidate that will be added. Until it is added, the loss
// of Faults disks could take a majority of the acceptors, so no change is acknowledged.
func (facts *Facts) IsGrowing() bool {
	return len(facts.View.Acceptors) < facts.AcceptorCount() && len(facts.acceptorCandidates(facts.View.Chain)) > 0
}

// takeCandidate removes and returns the first candidate from the zone with the fewest acceptors; nil if there is no
// candidate.
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
