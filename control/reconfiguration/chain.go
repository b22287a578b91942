package reconfiguration

import (
	"wardtray/control/membership"
	"wardtray/wire"
)

// excludeFailed returns the members that have not failed.
func (facts *Facts) excludeFailed(members []*wire.Member) []*wire.Member {
	var remaining []*wire.Member
	for _, member := range members {
		if !facts.isFailed(member.Id) {
			remaining = append(remaining, member)
		}
	}
	return remaining
}

// excludeDecommissioning excludes members that were ordered to stop, one by one, as long as enough other members hold
// everything that the excluded one holds: MinReplicas members if a process outside the chain could still join, one
// otherwise.
func (facts *Facts) excludeDecommissioning(members []*wire.Member) []*wire.Member {
	minCopies := 1
	if facts.successorCount(facts.View.Chain) > 0 {
		minCopies = max(minCopies, int(facts.View.MinReplicas))
	}
	for _, candidate := range members {
		if !facts.isDecommissioning(candidate.Id) {
			continue
		}
		if facts.copyCount(members, candidate) >= minCopies {
			members = membership.Without(members, candidate.Id)
		}
	}
	return members
}

// remainingCount returns the number of members that were not ordered to stop. Members that are about to stop must not
// raise MinReplicas.
func (facts *Facts) remainingCount(members []*wire.Member) int {
	count := 0
	for _, member := range members {
		if !facts.isDecommissioning(member.Id) {
			count++
		}
	}
	return count
}

// copyCount returns the number of other members of the chain that hold every committed change that a given member, the
// holder, holds. All members before the holder do. A member behind it does once it has synced what the holder had
// synced when the view began, since a later change is committed in this view only when every member has it.
func (facts *Facts) copyCount(members []*wire.Member, holder *wire.Member) int {
	copies, behind := 0, false
	for _, member := range members {
		if member.Id == holder.Id {
			behind = true
			continue
		}
		if !behind || facts.hasCaughtUp(member.Id, holder.Id) {
			copies++
		}
	}
	return copies
}

// holdAllCommitted reports whether the remaining members may form the chain without the others. A member that has just
// joined may lack changes committed since it learned the document, so incomplete members must not remain alone while an
// excluded member with the complete history may return, for example after a power failure from which the machines
// return one by one.
func (facts *Facts) holdAllCommitted(present, remaining []*wire.Member) bool {
	noneReturns := true
	for _, member := range present {
		if membership.Contains(remaining, member.Id) {
			if facts.isComplete(member.Id) {
				return true
			}
		} else if !facts.Detector.IsReplaced(member) {
			noneReturns = false
		}
	}
	return noneReturns
}

// survivors returns the members of the next chain for the case that every member of a chain too short to accept changes
// has lost its disk: the live members of the last chain that accepted changes. Every acknowledged change was
// acknowledged in that chain or before, and each of its members held it. They keep their order, since each member's
// history begins with its successor's. A member that is only silent may return with its disk, so survivors returns nil
// if there is one.
func (facts *Facts) survivors() []*wire.Member {
	current := facts.View
	for _, member := range current.Chain {
		if !facts.Detector.IsReplaced(member) {
			return nil
		}
	}
	var survivors []*wire.Member
	for _, member := range current.LastWritableChain {
		if !membership.Contains(current.Chain, member.Id) && facts.isAlive(member.Id) && !facts.isIneligible(member.Id) {
			survivors = append(survivors, member)
		}
	}
	return survivors
}

// joiner returns a process outside the chain that has learned the document and is connected to the tail, preferably
// from a zone with few members, so that copies in other zones survive the loss of one zone. It returns nil if there is
// none.
func (facts *Facts) joiner(members []*wire.Member) *wire.Member {
	if len(members) == 0 || len(members) >= ChainLimit(facts.Faults) {
		return nil
	}
	counts := membership.ZoneCounts(members)
	tail := members[len(members)-1].Id
	var chosen *wire.Member
	consider := func(member *wire.Member, learnedView uint64) {
		if membership.Contains(members, member.Id) || !facts.mayJoin(member.Id, learnedView, tail) {
			return
		}
		if chosen == nil || counts[member.Zone] < counts[chosen.Zone] {
			chosen = member
		}
	}
	for _, peer := range facts.Detector.Peers() {
		consider(peer.Member, peer.Heartbeat.LearnedView)
	}
	consider(facts.Local.Member, facts.Local.LearnedView)
	return chosen
}

// mayJoin reports whether a process outside the chain is eligible, learned the document in the current view, and is
// connected to the tail in both directions.
func (facts *Facts) mayJoin(id string, learnedView uint64, tail string) bool {
	if membership.Contains(facts.View.Chain, id) || facts.isIneligible(id) || !facts.isAlive(id) {
		return false
	}
	return learnedView == facts.View.Epoch && facts.hears(id, tail) && facts.hears(tail, id)
}
