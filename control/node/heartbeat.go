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
	for _, id := range peer.heartbeat.Reachable {
		if id == whom {
			return true
		}
	}
	return false
}

type peer struct {
	member    *wire.Member
	heartbeat *wire.Heartbeat
	heard     time.Time
	// initialSynced is how far it had synced when it first told that it acts under the view of its last beat.
	initialSynced uint64
	// gone tells that its process is dead for sure.
	gone bool
}

func (node *Node) tendHeartbeats(now time.Time) {
	if now.Sub(node.lastHeartbeat) < heartbeatEvery {
		return
	}
	node.lastHeartbeat = now
	current := node.agent.Current()
	heartbeat := &wire.Heartbeat{Member: node.self, View: current.Epoch, Fleet: current.Fleet, Blank: current.Epoch == 0,
		Unhealthy: node.unhealthy(now), Synced: node.chain.Synced(), LearnedView: node.chain.LearnedView(), Decommissioning: node.leaving(), Reachable: node.heard(now), UnleasedDaemons: node.absent(now), Incomplete: node.chain.Incomplete()}
	for _, address := range node.coreAddresses() {
		node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}})
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
	for _, seed := range append(append([]string{}, node.settings.Seeds...), node.settings.Founders...) {
		found[seed] = true
	}
	for _, peer := range node.peers {
		found[peer.member.Address] = true
	}
	current := node.agent.Current()
	for _, member := range append(append([]*wire.Member{}, current.Chain...), current.Acceptors...) {
		found[node.addressOf(member)] = true
	}
	for _, line := range node.partialView.Peers() {
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

func (node *Node) onHeartbeat(now time.Time, heartbeat *wire.Heartbeat) {
	if heartbeat.Member == nil || heartbeat.Member.Id == "" || heartbeat.Member.Id == node.self.Id || len(node.peers) >= maximumPartialView && node.peers[heartbeat.Member.Id] == nil {
		return
	}
	current := node.agent.Current()
	// A machine of another fleet, say one that was founded apart in a test, is none of ours.
	if heartbeat.Fleet != "" && current.Fleet != "" && heartbeat.Fleet != current.Fleet {
		return
	}
	// An address has one machine; a new identity there means that the old one is gone for good.
	for id, peer := range node.peers {
		if peer.member.Address == heartbeat.Member.Address && id != heartbeat.Member.Id {
			delete(node.peers, id)
		}
	}
	previous := node.peers[heartbeat.Member.Id]
	initialSynced := heartbeat.Synced
	if previous != nil && previous.heartbeat.View == heartbeat.View {
		initialSynced = previous.initialSynced
	}
	node.peers[heartbeat.Member.Id] = &peer{member: heartbeat.Member, heartbeat: heartbeat, heard: now, initialSynced: initialSynced}
	// Whoever hears less or is about to leave may have to be replaced at once.
	if previous != nil && (len(previous.heartbeat.Reachable) != len(heartbeat.Reachable) || previous.heartbeat.Decommissioning != heartbeat.Decommissioning || previous.heartbeat.Unhealthy != heartbeat.Unhealthy) {
		defer node.tendView(now)
	}
	if heartbeat.View < current.Epoch {
		node.agent.Tell(heartbeat.Member.Address)
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
