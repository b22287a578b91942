// Package reconfiguration derives the view that should follow the current one: which members of the chain and which
// acceptors have failed, are being decommissioned or are cut off, and which processes take their positions. All results
// are functions of the Facts of one moment, except that a link must have been broken for a timeout (Planner).
package reconfiguration

import (
	"sort"
	"time"

	"wardtray/control/failuredetector"
	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Local is the state of this process, which its peers learn from its heartbeats.
type Local struct {
	Member *wire.Member
	// Unhealthy reports whether its disk is unhealthy.
	Unhealthy bool
	// Decommissioning reports whether it was ordered to stop.
	Decommissioning bool
	// Incomplete reports whether its history may lack committed changes.
	Incomplete bool
	// Synced is the sequence up to which its disk holds the history, and InitialSynced the value of Synced when this
	// process adopted the current view.
	Synced, InitialSynced uint64
	// LearnedView is the epoch of the view in which it learned the complete document while outside the chain.
	LearnedView uint64
}

// Facts holds what a process knows at one moment about the members and the other control processes.
type Facts struct {
	Now      time.Time
	View     *wire.View
	Detector *failuredetector.Detector
	Local    Local
	// Faults is the number of processes that may lose their disks at the same time.
	Faults int
}

// AcceptorCount returns the desired number of acceptors: a majority remains when Faults disks are lost.
func (facts *Facts) AcceptorCount() int { return 2*facts.Faults + 1 }

// ChainLimit returns the largest length of the chain. It is bounded so that not every disk of a large fleet has to sync
// each change.
func ChainLimit(faults int) int { return max(minimumChainLimit, 2*faults+1) }

// MinReplicas returns the minimum number of replicas of a committed change: one more than the disks that may be lost
// (Faults), or the number of members if that is smaller. It never falls below the present value.
func (facts *Facts) MinReplicas(present uint32, members int) uint32 {
	return max(present, uint32(min(facts.Faults+1, members)))
}

func (facts *Facts) isSelf(id string) bool { return id == facts.Local.Member.Id }

func (facts *Facts) isAlive(id string) bool { return facts.Detector.IsAlive(facts.Now, id) }

func (facts *Facts) hears(listener, speaker string) bool {
	return facts.Detector.Hears(facts.Now, listener, speaker)
}

// isFailed reports whether a member is unreachable for a majority of the acceptors, or alive with an unhealthy disk.
func (facts *Facts) isFailed(id string) bool {
	if facts.isSelf(id) {
		return facts.Local.Unhealthy
	}
	peer := facts.Detector.Peer(id)
	return facts.Detector.IsUnreachable(facts.Now, id, facts.View.Acceptors) ||
		peer != nil && facts.isAlive(id) && peer.Heartbeat.Unhealthy
}

// isDecommissioning reports whether a live member was ordered to stop.
func (facts *Facts) isDecommissioning(id string) bool {
	if facts.isSelf(id) {
		return facts.Local.Decommissioning
	}
	peer := facts.Detector.Peer(id)
	return peer != nil && facts.isAlive(id) && peer.Heartbeat.Decommissioning
}

// isIneligible reports whether a process must not get a position.
func (facts *Facts) isIneligible(id string) bool {
	return facts.isFailed(id) || facts.isDecommissioning(id)
}

// isComplete reports whether a member of the chain is known to hold everything that was committed.
func (facts *Facts) isComplete(id string) bool {
	if facts.isSelf(id) {
		return !facts.Local.Incomplete
	}
	peer := facts.Detector.Peer(id)
	return peer != nil && !peer.Heartbeat.Incomplete
}

// progress returns the sequence that a member has synced, and the sequence that it had synced when it adopted the
// current view (initial). reported is false if the member has not reported them in this view.
func (facts *Facts) progress(id string) (synced, initial uint64, reported bool) {
	if facts.isSelf(id) {
		return facts.Local.Synced, facts.Local.InitialSynced, true
	}
	peer := facts.Detector.Peer(id)
	if peer == nil || peer.Heartbeat.View != facts.View.Epoch {
		return 0, 0, false
	}
	return peer.Heartbeat.Synced, peer.InitialSynced, true
}

// hasCaughtUp reports whether a member has reported in the current view that it synced what another had when it adopted
// the view.
func (facts *Facts) hasCaughtUp(id, other string) bool {
	synced, _, reported := facts.progress(id)
	_, initial, otherReported := facts.progress(other)
	return reported && otherReported && synced >= initial
}

// successorCount returns the number of live, eligible processes that are not among the members, including those that
// have not learned the document yet.
func (facts *Facts) successorCount(members []*wire.Member) int {
	count := 0
	for _, peer := range facts.Detector.Peers() {
		id := peer.Member.Id
		if !membership.Contains(members, id) && facts.isAlive(id) && !facts.isIneligible(id) {
			count++
		}
	}
	if self := facts.Local.Member.Id; !membership.Contains(members, self) && !facts.isIneligible(self) {
		count++
	}
	return count
}

// liveCount returns the number of members that are alive.
func (facts *Facts) liveCount(members []*wire.Member) int {
	count := 0
	for _, member := range members {
		if facts.isAlive(member.Id) {
			count++
		}
	}
	return count
}

// HearsMajority reports whether this process hears a majority of the chain members and acceptors; it counts itself if
// it is one of them.
func (facts *Facts) HearsMajority() bool {
	members := map[string]bool{}
	for _, member := range membership.Join(facts.View.Chain, facts.View.Acceptors) {
		members[member.Id] = true
	}
	alive := 0
	for id := range members {
		if facts.isAlive(id) {
			alive++
		}
	}
	return 2*alive > len(members)
}

// Warnings returns texts for operators on the failures that the fleet could no longer tolerate.
func (facts *Facts) Warnings() []string {
	current := facts.View
	if current.Epoch == 0 {
		return []string{"no view yet: every founder must be up and blank for the first one"}
	}
	var warnings []string
	live := facts.liveCount(current.Chain)
	if live <= int(current.MinReplicas) && current.MinReplicas > 1 {
		warnings = append(warnings,
			"the chain has no copy to spare: the loss of one more disk machine stops changes")
	}
	if live == 1 {
		warnings = append(warnings, "there is one live copy of the control state")
	}
	if facts.liveCount(current.Acceptors) < len(current.Acceptors) || len(current.Acceptors) < facts.AcceptorCount() {
		warnings = append(warnings,
			"not all keepers are live: the loss of one more stops the mending of the chain")
	}
	if !isSpread(current.Acceptors) {
		warnings = append(warnings, "most keepers stand in one zone")
	}
	sort.Strings(warnings)
	return warnings
}

// isSpread reports whether no zone has a majority of the acceptors.
func isSpread(acceptors []*wire.Member) bool {
	if len(acceptors) < 3 {
		return true
	}
	for _, count := range membership.ZoneCounts(acceptors) {
		if count >= view.Majority(len(acceptors)) {
			return false
		}
	}
	return true
}
