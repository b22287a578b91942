package reconfiguration

import (
	"time"

	"wardtray/control/failuredetector"
	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// decommissionDelay is the minimum time between the order to stop and the end of a process: a view that others proposed
// before they learned of the order may still give the process a position.
const decommissionDelay = 2 * failuredetector.HeartbeatInterval

// Decommission tracks the planned stop of this process: others take over its positions before it stops.
type Decommission struct {
	// since is the time at which this process was ordered to stop; zero if it was not.
	since time.Time
}

// Start records the order to stop, and reports whether it is the first one.
func (decommission *Decommission) Start(now time.Time) bool {
	if decommission.IsStarted() {
		return false
	}
	decommission.since = now
	return true
}

// IsStarted reports whether this process was ordered to stop.
func (decommission *Decommission) IsStarted() bool { return !decommission.since.IsZero() }

// IsComplete reports whether this process may stop: an agreed view contains it neither in the chain nor among the
// acceptors, and the remaining members know that view and hold everything that is committed; or no process can take
// over. committed is the newest committed sequence that this process knows.
func (decommission *Decommission) IsComplete(facts *Facts, committed uint64) bool {
	current, self := facts.View, facts.Local.Member.Id
	if current.Epoch == 0 {
		return true
	}
	// A view proposed before the others were notified may still give this process a position.
	if !decommission.IsStarted() || facts.Now.Sub(decommission.since) < decommissionDelay {
		return false
	}
	if membership.Contains(current.Chain, self) {
		return false
	}
	if membership.IsAcceptor(current, self) {
		return facts.successorCount(current.Acceptors) == 0 && facts.isDispensable()
	}
	return facts.isHandedOver(committed)
}

// isDispensable reports whether the other acceptors can agree on views without this process, or no process is left that
// would need a view.
func (facts *Facts) isDispensable() bool {
	remaining := 0
	for _, peer := range facts.Detector.Peers() {
		if id := peer.Member.Id; facts.isAlive(id) && !facts.isDecommissioning(id) {
			remaining++
		}
	}
	acceptors := facts.View.Acceptors
	return remaining == 0 || facts.upToDateCount(acceptors, 0) >= view.Majority(len(acceptors))
}

// isHandedOver reports whether the members of the current view, in which this process has no position, act under it and
// hold everything that is committed. It does not wait for members that are not alive.
func (facts *Facts) isHandedOver(committed uint64) bool {
	current := facts.View
	for _, member := range membership.Join(current.Chain, current.Acceptors) {
		if facts.isAlive(member.Id) && facts.Detector.Peer(member.Id).Heartbeat.View < current.Epoch {
			return false
		}
	}
	copies := facts.upToDateCount(current.Chain, committed)
	return facts.upToDateCount(current.Acceptors, 0) >= view.Majority(len(current.Acceptors)) &&
		copies >= min(int(current.MinReplicas), len(current.Chain))
}

// upToDateCount returns the number of live members that act under the current view, were not ordered to stop, and have
// synced the sequence.
func (facts *Facts) upToDateCount(members []*wire.Member, sequence uint64) int {
	count := 0
	for _, member := range members {
		if facts.isSelf(member.Id) || !facts.isAlive(member.Id) {
			continue
		}
		heartbeat := facts.Detector.Peer(member.Id).Heartbeat
		if !heartbeat.Decommissioning && heartbeat.View >= facts.View.Epoch && heartbeat.Synced >= sequence {
			count++
		}
	}
	return count
}
