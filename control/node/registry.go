package node

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/gossip"
	"wardtray/coordination/registry"
	"wardtray/wire"
)

// newRegistrar makes the part of a core that takes runners' calls.
func (node *Node) newRegistrar(now time.Time) *registry.Registrar {
	return registry.NewRegistrar(now, node.settings.Heartbeat, node.nonce, node.outbox, registry.Environment{
		Daemons: node.daemonAddresses, Cores: node.coreAddresses, Joined: node.joined, Isolated: node.isolated})
}

// Register takes a runner's call; answer is called once, within a second.
func (node *Node) Register(now time.Time, line *wire.Runner, answer func(outcome registry.Outcome)) {
	node.registrar.Register(now, line, answer)
}

// Deregister takes in that a runner's life is over; answer is called once, within a second.
func (node *Node) Deregister(now time.Time, id string, answer func(outcome registry.Outcome)) {
	node.registrar.Deregister(now, id, answer)
}

// Runners lists every registered runner, also those that are gone or silent.
func (node *Node) Runners(now time.Time) []*wire.Runner { return node.registrar.All(now) }

// Registry gives what was counted of the runners' calls.
func (node *Node) Registry() registry.Counters { return node.registrar.Counters() }

// daemonAddresses gives the data daemons that may award work: those of the directory but for the ones that hold no
// lease by the word of the head, and those that asked this machine for one.
func (node *Node) daemonAddresses(now time.Time) []string {
	found := map[string]bool{}
	for _, member := range node.directory() {
		found[member.Address] = true
	}
	for _, address := range node.leases.Active(now) {
		found[address] = true
	}
	// A daemon without a lease awards nothing, and learns of the runners before it gets one again.
	for _, address := range node.unleased(now) {
		delete(found, address)
	}
	addresses := make([]string, 0, len(found))
	for address := range found {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	return addresses
}

// directory gives the daemons of the newest directory that this machine knows.
func (node *Node) directory() []*wire.Member { return node.newestDirectory().Directory }

// newestDirectory gives the newest document that this machine knows of, from its own history or from a gossip message; of one that
// a gossip message brought it holds the sequence and the directory alone.
func (node *Node) newestDirectory() *wire.Document {
	document := node.chain.Committed()
	register := node.gossip.Get(gossip.DocumentKey)
	if register == nil || register.Epoch <= document.Sequence {
		return document
	}
	if node.rumored.Sequence != register.Epoch {
		carried := &wire.Document{}
		if proto.Unmarshal(register.Value, carried) != nil {
			return document
		}
		node.rumored = &wire.Document{Sequence: register.Epoch, Directory: carried.Directory}
	}
	return node.rumored
}

// joined reports whether this machine hears most of the chain and the acceptors, itself among them.
func (node *Node) joined(now time.Time) bool {
	if node.agent.Current().Epoch == 0 {
		return len(node.settings.Founders) <= 1 || len(node.detector.Peers()) > 0
	}
	return node.facts(now).HearsMajority()
}

// isolated reports whether this machine has heard nobody for a while, though there are others.
func (node *Node) isolated(now time.Time) bool {
	return node.detector.IsSilent(now) && (len(node.coreAddresses()) > 0 || len(node.directory()) > 0)
}
