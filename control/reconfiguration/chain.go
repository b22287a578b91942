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

// excludeDecommissioning excludes members that were ordered to stop, one by one, as long as enough of the others hold
// all that each holds: the minimum where a process outside could still join, at least one where none could.
func (facts *Facts) excludeDecommissioning(members []*wire.Member) []*wire.Member {
	least := 1
	if facts.successorCount(facts.View.Chain) > 0 {
		least = max(least, int(facts.View.MinReplicas))
	}
	for _, leaver := range members {
		if !facts.isDecommissioning(leaver.Id) {
			continue
		}
		if facts.copyCount(members, leaver) >= least {
			members = membership.Without(members, leaver.Id)
		}
	}
	return members
}

// remainingCount counts the members that were not ordered to stop; copies that are about to go must not raise the
// minimum.
func (facts *Facts) remainingCount(members []*wire.Member) int {
	count := 0
	for _, member := range members {
		if !facts.isDecommissioning(member.Id) {
			count++
		}
	}
	return count
}

// copyCount counts the other members of a chain that hold everything which a member of it holds. Those before it do.
// Of those behind it a change committed in this view needs every one, so they do once they have synced what it had when
// the view began.
func (facts *Facts) copyCount(members []*wire.Member, leaver *wire.Member) int {
	copies, behind := 0, false
	for _, member := range members {
		if member.Id == leaver.Id {
			behind = true
			continue
		}
		if !behind || facts.hasCaughtUp(member.Id, leaver.Id) {
			copies++
		}
	}
	return copies
}

// holdAll reports whether the remaining members have all that was committed. A member that joined a moment ago may
// lack what was committed since it learned the document. So it is not left alone while one who has all may come back,
// as after a power failure from which the machines return one by one.
func (facts *Facts) holdAll(present, remaining []*wire.Member) bool {
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

// survivors returns the processes that may go on where every member of a chain that was too short to take changes has
// lost its disk: those of the last chain that took some. What was acknowledged was so in that chain or before it, and
// each of its members held it; they keep their order, since each history begins with its successor's. A member that is
// only silent may come back with its disk, so nobody goes on without it.
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

// joiner returns a process outside the chain that has learned everything and is connected to the tail, preferably
// from a zone with few members: copies in many zones outlive the loss of one. It returns nil if there is none.
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

// mayJoin reports whether a process is eligible, learned the document in the present view, and is connected to the
// tail.
func (facts *Facts) mayJoin(id string, learnedView uint64, tail string) bool {
	if membership.Contains(facts.View.Chain, id) || facts.isIneligible(id) || !facts.isAlive(id) {
		return false
	}
	return learnedView == facts.View.Epoch && facts.hears(id, tail) && facts.hears(tail, id)
}
