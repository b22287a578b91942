// Package failuredetector knows which peers of a control process are alive, from the heartbeats that they send: whom
// this process hears, who hears whom, and whose process is known to have ended. It suspects by silence, so its answers
// may be wrong for a slow peer; who acts on them must ask several processes (IsUnreachable).
package failuredetector

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// HeartbeatInterval is how often a process sends its heartbeat.
	HeartbeatInterval = 200 * time.Millisecond
	// MaximumPeers bounds the peers that are tracked; heartbeats of further ones are dropped.
	MaximumPeers = 64
	// forgetAfter is after what silence a peer is forgotten altogether.
	forgetAfter = 5 * time.Minute
	// isolatedAfter is after how long without any message a process takes itself to be cut off.
	isolatedAfter = 1500 * time.Millisecond
)

// Peer is what is known of another control process.
type Peer struct {
	Member *wire.Member
	// Heartbeat is its last one.
	Heartbeat *wire.Heartbeat
	// LastSeen is when that arrived.
	LastSeen time.Time
	// InitialSynced is how far its disk held the history when it first reported the view of its last heartbeat.
	InitialSynced uint64
	// Terminated is set when its process is known to have ended.
	Terminated bool
}

// Detector tracks the peers of one process. It is a pure state machine: it sends nothing and reads no clock.
type Detector struct {
	self *wire.Member
	// suspicion is after what silence a peer counts as failed.
	suspicion time.Duration
	// pause is after what pause between two ticks this process takes it that it stood still itself.
	pause time.Duration

	peers         map[string]*Peer
	lastTick      time.Time
	lastHeartbeat time.Time
	// lastReceived is when the last message of another process arrived.
	lastReceived time.Time
}

// New returns a detector for a process that starts now and knows no peer.
func New(now time.Time, self *wire.Member, suspicion, pause time.Duration) *Detector {
	return &Detector{self: self, suspicion: suspicion, pause: pause, peers: map[string]*Peer{}, lastTick: now}
}

// Tick reports whether this process stood still since the last tick. It then has heard nobody, which says nothing
// about its peers, so each of them counts as heard just now.
func (detector *Detector) Tick(now time.Time) (paused bool) {
	paused = now.Sub(detector.lastTick) > detector.pause
	if paused {
		for _, peer := range detector.peers {
			if !peer.Terminated {
				peer.LastSeen = now
			}
		}
	}
	detector.lastTick = now
	return paused
}

// TakeHeartbeat reports whether this process' own heartbeat is due, and if so notes it as sent.
func (detector *Detector) TakeHeartbeat(now time.Time) bool {
	if now.Sub(detector.lastHeartbeat) < HeartbeatInterval {
		return false
	}
	detector.lastHeartbeat = now
	return true
}

// ExpediteHeartbeat makes the next heartbeat due at once.
func (detector *Detector) ExpediteHeartbeat() { detector.lastHeartbeat = time.Time{} }

// Forget drops the peers that have been silent for very long.
func (detector *Detector) Forget(now time.Time) {
	for id, peer := range detector.peers {
		if now.Sub(peer.LastSeen) > forgetAfter {
			delete(detector.peers, id)
		}
	}
}

// HandleHeartbeat handles a peer's heartbeat. It reports whether the heartbeat was accepted, and whether what it says
// of the peer's surroundings or health differs from the one before, so that a member may have to be replaced at once.
// The fleet is the one of this process, empty if it has none yet.
func (detector *Detector) HandleHeartbeat(now time.Time, fleet string,
	heartbeat *wire.Heartbeat) (accepted, changed bool) {
	if !detector.accepts(fleet, heartbeat) {
		return false, false
	}
	id := heartbeat.Member.Id
	// An address has one process; a new identity there means that the old one will never return.
	for other, peer := range detector.peers {
		if peer.Member.Address == heartbeat.Member.Address && other != id {
			delete(detector.peers, other)
		}
	}
	previous := detector.peers[id]
	initialSynced := heartbeat.Synced
	if previous != nil && previous.Heartbeat.View == heartbeat.View {
		initialSynced = previous.InitialSynced
	}
	detector.peers[id] = &Peer{Member: heartbeat.Member, Heartbeat: heartbeat, LastSeen: now, InitialSynced: initialSynced}
	return true, previous != nil && hasChanged(previous.Heartbeat, heartbeat)
}

func (detector *Detector) accepts(fleet string, heartbeat *wire.Heartbeat) bool {
	member := heartbeat.Member
	if member == nil || member.Id == "" || member.Id == detector.self.Id {
		return false
	}
	if len(detector.peers) >= MaximumPeers && detector.peers[member.Id] == nil {
		return false
	}
	// A process of another fleet, say one that was founded apart in a test, is no peer.
	return heartbeat.Fleet == "" || fleet == "" || heartbeat.Fleet == fleet
}

func hasChanged(previous, heartbeat *wire.Heartbeat) bool {
	return len(previous.Reachable) != len(heartbeat.Reachable) ||
		previous.Decommissioning != heartbeat.Decommissioning || previous.Unhealthy != heartbeat.Unhealthy
}

// ConnectionRefused handles that nobody listened at an address when it was tried: a process listens for as long as it
// lives, so the one that was last heard there before has ended.
func (detector *Detector) ConnectionRefused(address string, tried time.Time) {
	for _, peer := range detector.peers {
		if peer.Member.Address == address && !peer.Terminated && peer.LastSeen.Before(tried) {
			peer.Terminated = true
			detector.ExpediteHeartbeat()
		}
	}
}

// Received notes that a message of another process arrived.
func (detector *Detector) Received(now time.Time) { detector.lastReceived = now }

// IsSilent reports whether no message of any process has arrived for so long that this one may be cut off.
func (detector *Detector) IsSilent(now time.Time) bool {
	return now.Sub(detector.lastReceived) > isolatedAfter
}

// Peer returns what is known of a peer; nil if nothing is.
func (detector *Detector) Peer(id string) *Peer { return detector.peers[id] }

// Incarnation returns the incarnation that a peer stated last, 0 where it states none; heard is false for an unknown
// peer.
func (detector *Detector) Incarnation(id string) (incarnation uint64, heard bool) {
	peer := detector.peers[id]
	if peer == nil {
		return 0, false
	}
	return peer.Heartbeat.Incarnation, true
}

// Peers returns every known peer in the order of their ids, whether alive or not.
func (detector *Detector) Peers() []*Peer {
	peers := make([]*Peer, 0, len(detector.peers))
	for _, peer := range detector.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(left, right int) bool { return peers[left].Member.Id < peers[right].Member.Id })
	return peers
}

// IsAlive reports whether a process was heard within the suspicion time; this one always hears itself.
func (detector *Detector) IsAlive(now time.Time, id string) bool {
	peer := detector.peers[id]
	return id == detector.self.Id || peer != nil && detector.isRecent(now, peer)
}

func (detector *Detector) isRecent(now time.Time, peer *Peer) bool {
	return !peer.Terminated && now.Sub(peer.LastSeen) < detector.suspicion
}

// WasSeenRecently reports whether a peer was heard within the suspicion time, also if its process ended since.
func (detector *Detector) WasSeenRecently(now time.Time, peer *Peer) bool {
	return now.Sub(peer.LastSeen) < detector.suspicion
}

// Reachable returns the ids of this process and of those that it hears, sorted.
func (detector *Detector) Reachable(now time.Time) []string {
	reachable := []string{detector.self.Id}
	for id, peer := range detector.peers {
		if detector.isRecent(now, peer) {
			reachable = append(reachable, id)
		}
	}
	sort.Strings(reachable)
	return reachable
}

// Hears reports whether one process is known to hear another, by its own heartbeat.
func (detector *Detector) Hears(now time.Time, listener, speaker string) bool {
	if listener == speaker {
		return true
	}
	if listener == detector.self.Id {
		return detector.IsAlive(now, speaker)
	}
	peer := detector.peers[listener]
	if peer == nil {
		return false
	}
	for _, id := range peer.Heartbeat.Reachable {
		if id == speaker {
			return true
		}
	}
	return false
}

// IsUnreachable reports whether a majority of acceptors is heard to say that it does not hear a process, and none that
// it does. A process that was cut off itself hears no such majority when it returns, and so suspects nobody.
func (detector *Detector) IsUnreachable(now time.Time, id string, acceptors []*wire.Member) bool {
	unreachable := 0
	for _, acceptor := range acceptors {
		if acceptor.Id == id || !detector.IsAlive(now, acceptor.Id) {
			continue
		}
		if detector.Hears(now, acceptor.Id, id) {
			return false
		}
		unreachable++
	}
	return unreachable >= view.Majority(len(acceptors))
}

// IsReplaced reports whether another identity sends heartbeats from a member's address.
func (detector *Detector) IsReplaced(member *wire.Member) bool {
	for id, peer := range detector.peers {
		if id != member.Id && peer.Member.Address == member.Address {
			return true
		}
	}
	return false
}

// Resolve returns the address that a process was last heard from; empty if it is unknown.
func (detector *Detector) Resolve(id string) string {
	if id == detector.self.Id {
		return detector.self.Address
	}
	if peer := detector.peers[id]; peer != nil {
		return peer.Member.Address
	}
	return ""
}

// AddressOf returns the address that a member was last heard from, or else the one in its own record.
func (detector *Detector) AddressOf(member *wire.Member) string {
	if address := detector.Resolve(member.Id); address != "" {
		return address
	}
	return member.Address
}
