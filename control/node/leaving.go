package node

import (
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// Leave says that this machine is about to stop by order, so that the others first take over what it holds.
func (node *Node) Leave(now time.Time) {
	if node.leaving() {
		return
	}
	node.leavingSince = now
	node.lastHeartbeat = time.Time{}
	node.tendHeartbeats(now)
	node.tendView(now)
}

func (node *Node) leaving() bool { return !node.leavingSince.IsZero() }

// Left tells whether this machine may stop: an agreed view has neither its place in the chain nor its acceptor's seat,
// those who stay know that view and hold everything that is committed; or nobody is there to take these over.
func (node *Node) Left(now time.Time) bool {
	current := node.agent.Current()
	if current.Epoch == 0 {
		return true
	}
	// A view proposed before the others heard of the leave may still bring it a place.
	if !node.leaving() || now.Sub(node.leavingSince) < leaveSettling {
		return false
	}
	if node.chain.Inside() {
		return false
	}
	if keeps(current, node.self.Id) {
		return node.successors(now, current.Acceptors) == 0 && node.spared(now)
	}
	return node.handedOver(now)
}

// spared tells whether the other acceptors can agree on views without this one, or nobody is left who would need any.
func (node *Node) spared(now time.Time) bool {
	staying := 0
	for id := range node.peers {
		if node.fresh(now, id) && !node.leaves(now, id) {
			staying++
		}
	}
	return staying == 0 || node.informed(now, node.agent.Current().Acceptors, 0) >= view.Majority(len(node.agent.Current().Acceptors))
}

// handedOver tells whether the members of the present view, in which this machine has no place, act under it and hold
// what this machine knows to be committed. Those that are not heard can't be waited for.
func (node *Node) handedOver(now time.Time) bool {
	current := node.agent.Current()
	for _, member := range append(append([]*wire.Member{}, current.Chain...), current.Acceptors...) {
		if peer := node.peers[member.Id]; node.fresh(now, member.Id) && peer.heartbeat.View < current.Epoch {
			return false
		}
	}
	copies := node.informed(now, current.Chain, node.chain.Committed().Sequence)
	return node.informed(now, current.Acceptors, 0) >= view.Majority(len(current.Acceptors)) &&
		copies >= min(int(current.MinReplicas), len(current.Chain))
}

// informed counts the members that are heard to act under the present view, to stay, and to have synced a sequence.
func (node *Node) informed(now time.Time, members []*wire.Member, sequence uint64) int {
	count := 0
	for _, member := range members {
		peer := node.peers[member.Id]
		if member.Id != node.self.Id && node.fresh(now, member.Id) && !peer.heartbeat.Decommissioning &&
			peer.heartbeat.View >= node.agent.Current().Epoch && peer.heartbeat.Synced >= sequence {
			count++
		}
	}
	return count
}
