// Package failuredetector tracks which peers of a control process are alive: which heartbeats arrive at this process,
// which peers report that they hear each other, and which processes are known to have ended. A peer is suspected when
// its heartbeats are missing, so a slow peer may be suspected wrongly; a caller that acts on a suspicion must require
// that a majority of acceptors shares it (IsUnreachable).
package failuredetector

import (
	"sort"
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a process.
	HeartbeatInterval = 200 * time.Millisecond
	// MaximumPeers is the largest number of tracked peers; heartbeats of further ones are dropped.
	MaximumPeers = 64
	// forgetAfter is the time without a heartbeat after which a peer is no longer tracked.
	forgetAfter = 5 * time.Minute
	// isolatedAfter is the time without any message after which a process assumes that it is cut off.
	isolatedAfter = 1500 * time.Millisecond
)

// Peer holds the last reported state of another control process.
type Peer struct {
	Member *wire.Member
	// Heartbeat is the last one received.
	Heartbeat *wire.Heartbeat
	// LastSeen is the time at which it arrived.
	LastSeen time.Time
	// InitialSynced is the sequence that its disk had synced when it first reported the view of its last heartbeat.
	InitialSynced uint64
	// Terminated reports whether its process is known to have ended.
	Terminated bool
}

// Detector tracks the peers of one process. It is a pure state machine: it sends nothing and reads no clock.
type Detector struct {
	self *wire.Member
	// suspicion is the time without a heartbeat after which a peer counts as failed.
	suspicion time.Duration
	// pause is the time between two ticks beyond which this process assumes that it was paused.
	pause time.Duration

	peers         map[string]*Peer
	lastTick      time.Time
	lastHeartbeat time.Time
	// lastReceived is the time at which the last message of another process arrived.
	lastReceived time.Time
}

// New returns a detector without peers for a process that starts now.
func New(now time.Time, self *wire.Member, suspicion, pause time.Duration) *Detector {
	return &Detector{self: self, suspicion: suspicion, pause: pause, peers: map[string]*Peer{}, lastTick: now}
}

// Tick reports whether this process was paused since the last tick. If so, it could not receive heartbeats, so missing
// ones do not show that peers have failed, and each of them counts as heard now.
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

// TakeHeartbeat reports whether this process' own heartbeat is due, and if so records it as sent.
func (detector *Detector) TakeHeartbeat(now time.Time) bool {
	if now.Sub(detector.lastHeartbeat) < HeartbeatInterval {
		return false
	}
	detector.lastHeartbeat = now
	return true
}

// ExpediteHeartbeat makes the next heartbeat due at once.
func (detector *Detector) ExpediteHeartbeat() { detector.lastHeartbeat = time.Time{} }

// Forget removes the peers without a heartbeat for longer than forgetAfter.
func (detector *Detector) Forget(now time.Time) {
	for id, peer := range detector.peers {
		if now.Sub(peer.LastSeen) > forgetAfter {
			delete(detector.peers, id)
		}
	}
}

// HandleHeartbeat handles a peer's heartbeat. It reports whether the heartbeat was accepted, and whether the peer's
// health, decommissioning or number of reachable processes differs from its previous heartbeat, so that a member may
// have to be replaced at once. The fleet is that of this process, empty if it has none yet.
func (detector *Detector) HandleHeartbeat(now time.Time, fleet string,
	heartbeat *wire.Heartbeat) (accepted, changed bool) {
	if !detector.accepts(fleet, heartbeat) {
		return false, false
	}
	id := heartbeat.Member.Id
	// Only one process uses an address. A new identity there means that the old one will never return.
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
	// A process of another fleet, for example one that a test founded separately, is not a peer.
	return heartbeat.Fleet == "" || fleet == "" || heartbeat.Fleet == fleet
}

func hasChanged(previous, heartbeat *wire.Heartbeat) bool {
	return len(previous.Reachable) != len(heartbeat.Reachable) ||
		previous.Decommissioning != heartbeat.Decommissioning || previous.Unhealthy != heartbeat.Unhealthy
}

// ConnectionRefused handles a connection attempt, made at the time tried, that was refused at an address. A process
// listens until it ends, so a peer at this address that was last heard before the attempt has ended.
func (detector *Detector) ConnectionRefused(address string, tried time.Time) {
	for _, peer := range detector.peers {
		if peer.Member.Address == address && !peer.Terminated && peer.LastSeen.Before(tried) {
			peer.Terminated = true
			detector.ExpediteHeartbeat()
		}
	}
}

// Received records the arrival of a message of another process.
func (detector *Detector) Received(now time.Time) { detector.lastReceived = now }

// IsSilent reports whether no message has arrived for longer than isolatedAfter, so that this process may be cut off.
func (detector *Detector) IsSilent(now time.Time) bool {
	return now.Sub(detector.lastReceived) > isolatedAfter
}

// Peer returns the peer with an id; nil if it is unknown.
func (detector *Detector) Peer(id string) *Peer { return detector.peers[id] }

// Incarnation returns the incarnation in a peer's last heartbeat, 0 if that contains none; heard is false for an
// unknown peer.
func (detector *Detector) Incarnation(id string) (incarnation uint64, heard bool) {
	peer := detector.peers[id]
	if peer == nil {
		return 0, false
	}
	return peer.Heartbeat.Incarnation, true
}

// Peers returns all known peers, alive or not, sorted by id.
func (detector *Detector) Peers() []*Peer {
	peers := make([]*Peer, 0, len(detector.peers))
	for _, peer := range detector.peers {
		peers = append(peers, peer)
	}
	sort.Slice(peers, func(left, right int) bool { return peers[left].Member.Id < peers[right].Member.Id })
	return peers
}

// IsAlive reports whether a process was heard within the suspicion time and is not known to have ended. This process is
// always alive.
func (detector *Detector) IsAlive(now time.Time, id string) bool {
	peer := detector.peers[id]
	return id == detector.self.Id || peer != nil && detector.isRecent(now, peer)
}

func (detector *Detector) isRecent(now time.Time, peer *Peer) bool {
	return !peer.Terminated && now.Sub(peer.LastSeen) < detector.suspicion
}

// WasSeenRecently reports whether a peer was heard within the suspicion time, even if its process has ended since.
func (detector *Detector) WasSeenRecently(now time.Time, peer *Peer) bool {
	return now.Sub(peer.LastSeen) < detector.suspicion
}

// Reachable returns the sorted ids of this process and of the peers that are alive.
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

// Hears reports whether a listener hears a speaker, according to the listener's last heartbeat.
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

// IsUnreachable reports whether the live acceptors, without the process with the id itself, are a majority of all
// acceptors and none of them hears that process. A process that was cut off itself sees no live majority when it
// returns, so it considers nobody unreachable.
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

// IsReplaced reports whether a process with another identity sends heartbeats from a member's address.
func (detector *Detector) IsReplaced(member *wire.Member) bool {
	for id, peer := range detector.peers {
		if id != member.Id && peer.Member.Address == member.Address {
			return true
		}
	}
	return false
}

// Resolve returns the address in the last heartbeat of a process; empty if it is unknown.
func (detector *Detector) Resolve(id string) string {
	if id == detector.self.Id {
		return detector.self.Address
	}
	if peer := detector.peers[id]; peer != nil {
		return peer.Member.Address
	}
	return ""
}

// AddressOf returns the address in the last heartbeat of a member, or the one in its record if there is no heartbeat.
func (detector *Detector) AddressOf(member *wire.Member) string {
	if address := detector.Resolve(member.Id); address != "" {
		return address
	}
	return member.Address
}
