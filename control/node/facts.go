package node

import (
	"sort"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/control/membership"
	"wardtray/control/reconfiguration"
)

// facts returns what this machine knows at this moment of the members and of the other machines.
func (node *Node) facts(now time.Time) *reconfiguration.Facts {
	return &reconfiguration.Facts{Now: now, View: node.agent.Current(), Detector: node.detector,
		Faults: node.settings.Faults,
		Local: reconfiguration.Local{Member: node.self, Unhealthy: node.disk.IsUnhealthy(now),
			Decommissioning: node.decommission.IsStarted(), Incomplete: node.chain.Incomplete(),
			Synced: node.chain.Synced(), InitialSynced: node.initialSynced, LearnedView: node.chain.LearnedView()}}
}

// leader returns what the delivery of a change depends on beside the daemons' leases.
func (node *Node) leader(now time.Time) daemonlease.Leader {
	return daemonlease.Leader{Now: now, Since: node.leadership.Started(), View: node.agent.Current(),
		IsGrowing: func() bool { return node.facts(now).IsGrowing() }}
}

// unleased lists the daemons of the directory that hold no lease of this machine's, if it leads.
func (node *Node) unleased(now time.Time) []string {
	if !node.leadership.IsLeading(now) {
		return nil
	}
	return node.leases.Unleased(now, node.leadership.Started())
}

// unleasedByHead lists the daemons of the directory that hold no lease by the word of the present head, if that is known.
func (node *Node) unleasedByHead(now time.Time) []string {
	current := node.agent.Current()
	if len(current.Chain) == 0 {
		return nil
	}
	head := current.Chain[0].Id
	if head == node.self.Id {
		return node.unleased(now)
	}
	peer := node.detector.Peer(head)
	if peer != nil && node.detector.IsAlive(now, head) && peer.Heartbeat.View == current.Epoch {
		return peer.Heartbeat.UnleasedDaemons
	}
	return nil
}

// hearsMajority reports whether this machine hears most of the chain and the acceptors, itself among them.
func (node *Node) hearsMajority(now time.Time) bool {
	if node.agent.Current().Epoch == 0 {
		return len(node.settings.Founders) <= 1 || len(node.detector.Peers()) > 0
	}
	return node.facts(now).HearsMajority()
}

// isIsolated reports whether this machine has heard nobody for a while, though there are others.
func (node *Node) isIsolated(now time.Time) bool {
	return node.detector.IsSilent(now) &&
		(len(node.coreAddresses()) > 0 || len(node.directory.Newest().Directory) > 0)
}

// coreAddresses lists, sorted, every address where another disk machine may be.
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
