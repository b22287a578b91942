// Package directory maintains the list of the fleet's data daemons, which is committed as part of the document.
// Directory holds the newest list and spreads it by gossip, Updater changes it at the head, and Learner fetches it for
// processes outside the chain.
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

// addressSet is the set of addresses in the directory of the document with a sequence.
type addressSet struct {
	sequence  uint64
	addresses map[string]bool
}

// Directory provides the newest directory that a process knows, from its own history or from gossip, and spreads the
// committed document by gossip.
type Directory struct {
	self        *wire.Member
	agent       *view.Agent
	chain       *chain.Chain
	outbox      *statemachine.Outbox
	partialView *peersampling.PartialView
	addressOf   func(member *wire.Member) string
	gossip      *gossip.Store

	// addresses caches the set for the document of the last call of Contains.
	addresses addressSet
	// received is the newest document received by gossip; only its sequence and directory are set.
	received *wire.Document
	// packedSpec is the committed configuration in compressed form, packedEpoch the epoch that it belongs to.
	packedSpec  []byte
	packedEpoch uint64
}

// New returns the directory of a process, with its own gossip store.
func New(self *wire.Member, agent *view.Agent, history *chain.Chain, outbox *statemachine.Outbox, random *rand.Rand,
	partialView *peersampling.PartialView, addressOf func(member *wire.Member) string) *Directory {
	directory := &Directory{self: self, agent: agent, chain: history, outbox: outbox, partialView: partialView,
		addressOf: addressOf, received: &wire.Document{}}
	directory.gossip = gossip.New(self.Zone, outbox, random, directory.partners, func(time.Time, *wire.GossipEntry) {})
	return directory
}

// Gossip returns the store that spreads the document, for use by other gossiped data as well.
func (directory *Directory) Gossip() *gossip.Store { return directory.gossip }

// NewestDocument returns the newest document that this process knows. If that was received by gossip, only its sequence
// and its directory are set.
func (directory *Directory) NewestDocument() *wire.Document {
	document := directory.chain.Committed()
	entry := directory.gossip.Get(gossip.DocumentKey)
	if entry == nil || entry.Epoch <= document.Sequence {
		return document
	}
	if directory.received.Sequence != entry.Epoch {
		decoded := &wire.Document{}
		if proto.Unmarshal(entry.Value, decoded) != nil {
			return document // An entry that cannot be decoded is ignored; the next document replaces it.
		}
		directory.received = &wire.Document{Sequence: entry.Epoch, Directory: decoded.Directory}
	}
	return directory.received
}

// Contains reports whether a daemon is in a document's directory. The set of addresses is built once for each document,
// since every lease request needs a lookup.
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
// those that recently requested a lease from this process (active), without those known to hold no lease (unleased). A
// daemon without a lease serves no requests, and learns of the runners before it gets a lease again.
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

// Publish gossips the committed document, without the fields that only the chain needs.
func (directory *Directory) Publish(now time.Time) {
	document := directory.chain.Committed()
	published := &wire.Document{Sequence: document.Sequence, SpecEpoch: document.SpecEpoch,
		PackedSpec: directory.pack(document), Directory: document.Directory, Reservations: document.Reservations}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(published)
	if err != nil {
		return // A committed document always encodes. If one did not, daemons would still get the next one.
	}
	entry := &wire.GossipEntry{Key: gossip.DocumentKey, Epoch: document.Sequence, Value: value}
	directory.gossip.Put(now, entry, gossip.Hops)
}

// pack returns the document's configuration in compressed form. It is cached, so that a change of the directory alone
// does not compress it again.
func (directory *Directory) pack(document *wire.Document) []byte {
	if directory.packedSpec == nil || directory.packedEpoch != document.SpecEpoch {
		directory.packedEpoch = document.SpecEpoch
		directory.packedSpec = config.Pack(config.SealContent(document.Spec))
	}
	return directory.packedSpec
}

// HandleRequest handles a request for a newer document than the sender's, and sends one if there is one.
func (directory *Directory) HandleRequest(sender string, request *wire.DocumentRequest) {
	entry := directory.gossip.Get(gossip.DocumentKey)
	if entry == nil || entry.Epoch <= request.Sequence {
		return
	}
	message := &wire.GossipMessage{Entries: []*wire.GossipEntry{entry}}
	directory.outbox.Send(sender, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: message}})
}

// partners returns, sorted, the gossip partners: the directory's daemons, the partial view and the chain's members.
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
