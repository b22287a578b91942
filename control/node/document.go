package node

import (
	"sort"
	"time"

	"wardtray/config"
	"wardtray/coordination/gossip"
	"wardtray/wire"

	"google.golang.org/protobuf/proto"
)

func (node *Node) tendLearning(now time.Time) {
	current := node.agent.Current()
	if current.Epoch == 0 || node.chain.Inside() || node.decommission.IsStarted() || len(current.Chain) == 0 || now.Sub(node.lastLearn) < learnEvery ||
		node.chain.LearnedView() == current.Epoch && now.Sub(node.lastLearn) < learnedEvery {
		return
	}
	node.lastLearn = now
	node.chain.AskToLearn(node.detector.AddressOf(current.Chain[len(current.Chain)-1]))
}

func (node *Node) onCommit(now time.Time, sequence uint64) {
	node.counters.Commits++
	node.leases.Committed(now, sequence)
	node.witness.Knows(sequence)
	node.publish(now)
	// The acceptors must know before the change may be acknowledged; they should not wait for the next round.
	node.leadership.ExpediteRequest()
	node.leadership.Tick(now)
}

// publish puts the committed document among the gossip, without what only the chain needs.
func (node *Node) publish(now time.Time) {
	document := node.chain.Committed()
	carried := &wire.Document{Sequence: document.Sequence, SpecEpoch: document.SpecEpoch, PackedSpec: node.packed(document), Directory: document.Directory}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(carried)
	if err == nil {
		node.gossip.Put(now, &wire.GossipEntry{Key: gossip.DocumentKey, Epoch: document.Sequence, Value: value}, gossip.Hops)
	}
}

// packed gives the document's spec compressed; a change of the directory alone does not compress it anew.
func (node *Node) packed(document *wire.Document) []byte {
	if node.packedSpec == nil || node.packedEpoch != document.SpecEpoch {
		node.packedEpoch, node.packedSpec = document.SpecEpoch, config.Pack(config.SealContent(document.Spec))
	}
	return node.packedSpec
}

// partners gives whom gossip go to: the directory's daemons, the neighbours and the disk machines.
func (node *Node) partners() []gossip.Peer {
	zones := map[string]string{}
	for _, line := range node.partialView.Peers() {
		zones[line.Address] = line.Zone
	}
	for _, member := range node.chain.Committed().Directory {
		zones[member.Address] = member.Zone
	}
	for _, member := range node.agent.Current().Chain {
		zones[node.detector.AddressOf(member)] = member.Zone
	}
	delete(zones, node.self.Address)
	partners := make([]gossip.Peer, 0, len(zones))
	for address, zone := range zones {
		partners = append(partners, gossip.Peer{Address: address, Zone: zone})
	}
	sort.Slice(partners, func(left, right int) bool { return partners[left].Address < partners[right].Address })
	return partners
}
