package node

import (
	"sort"
	"time"

	"wardtray/control/membership"
	"wardtray/control/reconfiguration"
	"wardtray/wire"
)

// facts returns what this machine knows at this moment of the members and of the other machines.
func (node *Node) facts(now time.Time) *reconfiguration.Facts {
	return &reconfiguration.Facts{Now: now, View: node.agent.Current(), Detector: node.detector,
		Faults: node.settings.Faults,
		Local: reconfiguration.Local{Member: node.self, Unhealthy: node.disk.IsUnhealthy(now),
			Decommissioning: node.decommission.IsStarted(), Incomplete: node.chain.Incomplete(),
			Synced: node.chain.Synced(), InitialSynced: node.initialSynced, LearnedView: node.chain.LearnedView()}}
}

// ChainLimit bounds the chain, so that no change has to be synced by every disk of a large fleet.
func (node *Node) ChainLimit() int {
	return (&reconfiguration.Facts{Faults: node.settings.Faults}).ChainLimit()
}

// Leave says that this machine is about to stop by order, so that the others first take over what it holds.
func (node *Node) Leave(now time.Time) {
	if !node.decommission.Start(now) {
		return
	}
	node.detector.ExpediteHeartbeat()
	node.sendHeartbeats(now)
	node.proposer.Tick(node.facts(now))
}

// Left reports whether this machine may stop: others have taken over what it holds, or nobody is there to do so.
func (node *Node) Left(now time.Time) bool {
	return node.decommission.IsComplete(node.facts(now), node.chain.Committed().Sequence)
}

// sendHeartbeats sends a heartbeat to every address where a disk machine may be, if one is due.
func (node *Node) sendHeartbeats(now time.Time) {
	if !node.detector.TakeHeartbeat(now) {
		return
	}
	current := node.agent.Current()
	heartbeat := &wire.Heartbeat{Member: node.self, View: current.Epoch, Fleet: current.Fleet, Blank: current.Epoch == 0,
		Unhealthy: node.disk.IsUnhealthy(now), Synced: node.chain.Synced(), LearnedView: node.chain.LearnedView(),
		Decommissioning: node.decommission.IsStarted(), Reachable: node.detector.Reachable(now),
		UnleasedDaemons: node.unleasedHere(now), Incomplete: node.chain.Incomplete()}
	for _, address := range node.coreAddresses() {
		node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}})
	}
	node.detector.Forget(now)
}

// onHeartbeat handles another machine's heartbeat.
func (node *Node) onHeartbeat(now time.Time, heartbeat *wire.Heartbeat) {
	current := node.agent.Current()
	accepted, changed := node.detector.Observe(now, current.Fleet, heartbeat)
	if !accepted {
		return
	}
	if heartbeat.View < current.Epoch {
		node.agent.Tell(heartbeat.Member.Address)
	}
	// Whoever hears less or is about to stop may have to be replaced at once.
	if changed {
		node.proposer.Tick(node.facts(now))
	}
}

// coreAddresses lists every address where a disk machine may be.
func (node *Node) coreAddresses() []string {
	found := map[string]bool{}
	for _, addresses := range [][]string{node.settings.Seeds, node.settings.Founders} {
		for _, address := range addresses {
			found[address] = true
		}
	}
	for _, peer := range node.detector.Peers() {
		found[peer.Member.Address] = true
	}
	current := node.agent.Current()
	for _, member := range membership.Join(current.Chain, current.Acceptors) {
		found[node.detector.AddressOf(member)] = true
	}
	for _, descriptor := range node.partialView.Peers() {
		if descriptor.Core {
			found[descriptor.Address] = true
		}
	}
	delete(found, node.self.Address)
	addresses := make([]string, 0, len(found))
	for address := range found {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}
