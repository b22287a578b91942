// Package directory knows the data daemons of the fleet: the list that is committed with the document (Directory), its
// changes (Updater), how it reaches daemons by gossip, and how a process outside the chain learns it (Learner).
package directory

import (
	"maps"
	"math/rand"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// addressSet is the addresses of one document's directory.
type addressSet struct {
	sequence  uint64
	addresses map[string]bool
}

// Directory is the newest directory that a process knows of, from its own history or from gossip, and the gossip that
// spreads the document.
type Directory struct {
	self        *wire.Member
	agent       *view.Agent
	chain       *chain.Chain
	outbox      *statemachine.Outbox
	partialView *peersampling.PartialView
	addressOf   func(member *wire.Member) string
	gossip      *gossip.Store

	// addresses are those of the document that was last asked about.
	addresses addressSet
	// received is the newest document that gossip brought: its sequence and directory alone.
	received *wire.Document
	// packedSpec is the committed spec as it is sent, and packedEpoch the epoch it is of.
	packedSpec  []byte
	packedEpoch uint64
}

// New returns the directory of a process, with a gossip store of its own.
func New(self *wire.Member, agent *view.Agent, history *chain.Chain, outbox *statemachine.Outbox, random *rand.Rand,
	partialView *peersampling.PartialView, addressOf func(member *wire.Member) string) *Directory {
	directory := &Directory{self: self, agent: agent, chain: history, outbox: outbox, partialView: partialView,
		addressOf: addressOf, received: &wire.Document{}}
	directory.gossip = gossip.New(self.Zone, outbox, random, directory.partners, func(time.Time, *wire.GossipEntry) {})
	return directory
}

// Gossip returns the store that spreads the document, for what else is gossiped.
func (directory *Directory) Gossip() *gossip.Store { return directory.gossip }

// NewestDocument returns the newest document that this process knows of. Of one that gossip brought only the
// sequence and the directory are set.
func (directory *Directory) NewestDocument() *wire.Document {
	document := directory.chain.Committed()
	entry := directory.gossip.Get(gossip.DocumentKey)
	if entry == nil || entry.Epoch <= document.Sequence {
		return document
	}
	if directory.received.Sequence != entry.Epoch {
		carried := &wire.Document{}
		if proto.Unmarshal(entry.Value, carried) != nil {
			return document // What can't be read is no newer document; the next one replaces it.
		}
		directory.received = &wire.Document{Sequence: entry.Epoch, Directory: carried.Directory}
	}
	return directory.received
}

// Contains reports whether a daemon is in a document's directory. The set is made once for each document, since every
// request for a lease looks into it.
func (directory *Directory) Contains(document *wire.Document, address string) bool {
	if directory.addresses.addresses == nil || directory.addresses.sequence != document.Sequence {
		addresses := make(map[string]bool, len(document.Directory))
		for _, member := range document.Directory {
			addresses[member.Address] = true
		}
		directory.addresses = addressSet{sequence: document.Sequence, addresses: addresses}
	}
	return directory.addresses.addresses[address]
}

// ServingDaemons lists, sorted, the addresses of the daemons that may serve requests: those of the newest directory and
// those that requested a lease here of late (active), but for those that are known to hold no lease (unleased). Such a
// daemon serves nobody, and learns of the runners before it gets one again.
func (directory *Directory) ServingDaemons(active, unleased []string) []string {
	found := map[string]bool{}
	for _, member := range directory.NewestDocument().Directory {
		found[member.Address] = true
	}
	for _, address := range active {
		found[address] = true
	}
	for _, address := range unleased {
		delete(found, address)
	}
	return slices.Sorted(maps.Keys(found))
}

// Publish gossips the committed document, without what only the chain needs.
func (directory *Directory) Publish(now time.Time) {
	document := directory.chain.Committed()
	carried := &wire.Document{Sequence: document.Sequence, SpecEpoch: document.SpecEpoch,
		PackedSpec: directory.pack(document), Directory: document.Directory, Reservations: document.Reservations}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(carried)
	if err != nil {
		return // No document that is committed fails to encode; daemons would still learn the next one.
	}
	entry := &wire.GossipEntry{Key: gossip.DocumentKey, Epoch: document.Sequence, Value: value}
	directory.gossip.Put(now, entry, gossip.Hops)
}

// pack returns the document's spec compressed; a change of the directory alone does not compress it anew.
func (directory *Directory) pack(document *wire.Document) []byte {
	if directory.packedSpec == nil || directory.packedEpoch != document.SpecEpoch {
		directory.packedEpoch = document.SpecEpoch
		directory.packedSpec = config.Pack(config.SealContent(document.Spec))
	}
	return directory.packedSpec
}

// HandleRequest handles a request for a document newer than the sender's.
func (directory *Directory) HandleRequest(sender string, request *wire.DocumentRequest) {
	entry := directory.gossip.Get(gossip.DocumentKey)
	if entry == nil || entry.Epoch <= request.Sequence {
		return
	}
	message := &wire.GossipMessage{Entries: []*wire.GossipEntry{entry}}
	directory.outbox.Send(sender, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: message}})
}

// partners returns, sorted, whom gossip goes to: the directory's daemons, the partial view and the chain's members.
func (directory *Directory) partners() []gossip.Peer {
	zones := map[string]string{}
	for _, descriptor := range directory.partialView.Peers() {
		zones[descriptor.Address] = descriptor.Zone
	}
	for _, member := range directory.chain.Committed().Directory {
		zones[member.Address] = member.Zone
	}
	for _, member := range directory.agent.Current().Chain {
		zones[directory.addressOf(member)] = member.Zone
	}
	delete(zones, directory.self.Address)
	return gossip.SortedPeers(zones)
}
