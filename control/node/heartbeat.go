package node

import (
	"sort"
	"time"

	"wardtray/wire"
)

// fresh tells whether a member was heard of late; this machine always hears itself.
func (node *Node) fresh(now time.Time, id string) bool {
	peer := node.peers[id]
	return id == node.self.Id || peer != nil && !peer.gone && now.Sub(peer.heard) < node.bounds.Suspicion
}

// hears tells whether one member says that it hears another; silent is the answer where nobody knows.
func (node *Node) hears(now time.Time, who, whom string) bool {
	if who == whom {
		return true
	}
	if who == node.self.Id {
		return node.fresh(now, whom)
	}
	peer := node.peers[who]
	if peer == nil {
		return false
	}
	for _, id := range peer.beat.Heard {
		if id == whom {
			return true
		}
	}
	return false
}

type peer struct {
	member *wire.Member
	beat   *wire.Beat
	heard  time.Time
	// initialSynced is how far it had synced when it first told that it acts under the view of its last beat.
	initialSynced uint64
	// gone tells that its process is dead for sure.
	gone bool
}

func (node *Node) tendBeats(now time.Time) {
	if now.Sub(node.lastBeat) < beatEvery {
		return
	}
	node.lastBeat = now
	current := node.agent.Current()
	beat := &wire.Beat{Member: node.self, View: current.Epoch, Fleet: current.Fleet, Blank: current.Epoch == 0,
		Sick: node.sick(now), Synced: node.chain.Synced(), LearnedView: node.chain.LearnedView(), Leaving: node.leaving(), Heard: node.heard(now), Absent: node.absent(now), Incomplete: node.chain.Incomplete()}
	for _, address := range node.coreAddresses() {
		node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Beat{Beat: beat}})
	}
	for id, peer := range node.peers {
		if now.Sub(peer.heard) > forgetBound {
			delete(node.peers, id)
		}
	}
}

// heard lists, in order, whom this machine has heard of late.
func (node *Node) heard(now time.Time) []string {
	heard := []string{node.self.Id}
	for id, peer := range node.peers {
		if !peer.gone && now.Sub(peer.heard) < node.bounds.Suspicion {
			heard = append(heard, id)
		}
	}
	sort.Strings(heard)
	return heard
}

// coreAddresses lists every address where a disk machine may be.
func (node *Node) coreAddresses() []string {
	found := map[string]bool{}
	for _, seed := range append(append([]string{}, node.startup.Seeds...), node.startup.Founders...) {
		found[seed] = true
	}
	for _, peer := range node.peers {
		found[peer.member.Address] = true
	}
	current := node.agent.Current()
	for _, member := range append(append([]*wire.Member{}, current.Chain...), current.Keepers...) {
		found[node.addressOf(member)] = true
	}
	for _, line := range node.cohort.Lines() {
		if line.Core {
			found[line.Address] = true
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

func (node *Node) onBeat(now time.Time, beat *wire.Beat) {
	if beat.Member == nil || beat.Member.Id == "" || beat.Member.Id == node.self.Id || len(node.peers) >= maximumCohort && node.peers[beat.Member.Id] == nil {
		return
	}
	current := node.agent.Current()
	// A machine of another fleet, say one that was founded apart in a test, is none of ours.
	if beat.Fleet != "" && current.Fleet != "" && beat.Fleet != current.Fleet {
		return
	}
	// An address has one machine; a new identity there means that the old one is gone for good.
	for id, peer := range node.peers {
		if peer.member.Address == beat.Member.Address && id != beat.Member.Id {
			delete(node.peers, id)
		}
	}
	former := node.peers[beat.Member.Id]
	initialSynced := beat.Synced
	if former != nil && former.beat.View == beat.View {
		initialSynced = former.initialSynced
	}
	node.peers[beat.Member.Id] = &peer{member: beat.Member, beat: beat, heard: now, initialSynced: initialSynced}
	// Whoever hears less or is about to leave may have to be replaced at once.
	if former != nil && (len(former.beat.Heard) != len(beat.Heard) || former.beat.Leaving != beat.Leaving || former.beat.Sick != beat.Sick) {
		defer node.tendView(now)
	}
	if beat.View < current.Epoch {
		node.agent.Tell(beat.Member.Address)
	}
}

func (node *Node) resolve(id string) string {
	if id == node.self.Id {
		return node.self.Address
	}
	if peer := node.peers[id]; peer != nil {
		return peer.member.Address
	}
	return ""
}

func (node *Node) addressOf(member *wire.Member) string {
	if address := node.resolve(member.Id); address != "" {
		return address
	}
	return member.Address
}
