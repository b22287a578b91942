package controller

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/coordination/election"
	"wardtray/coordination/gossip"
	"wardtray/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatHops is the number of times that a heartbeat is forwarded.
	heartbeatHops = 2
	// candidateCount is the number of live daemons at the start of a zone's order that send heartbeats.
	candidateCount = 3
	pollInterval   = 400 * time.Millisecond
	// listTimeout is the time without a new list of the zone after which a daemon polls the platform for itself.
	listTimeout = 1600 * time.Millisecond
)

// runnerList is the platform's list of runners. One elected daemon of each zone polls the list and distributes it by
// gossip. The type is unused if runners register themselves.
type runnerList struct {
	zone     string
	address  string
	election *election.Election
	gossip   *gossip.Store
	// runners is the newest list.
	runners       []*wire.Runner
	lastList      time.Time
	lastHeartbeat time.Time
	// heartbeats counts this daemon's heartbeats.
	heartbeats uint64
	// heartbeatEpoch orders this daemon's heartbeats after those of its previous incarnations.
	heartbeatEpoch uint64
	lastPoll       time.Time
	// polling is set from a poll request until its result arrives.
	polling bool
	// pollRequested is set from a poll request until the owner has taken it.
	pollRequested bool
}

// newRunnerList returns an empty list.
func newRunnerList(zone, address string, election *election.Election, store *gossip.Store) *runnerList {
	return &runnerList{zone: zone, address: address, election: election, gossip: store}
}

// listKey returns the key of the gossip entry that carries the list.
func (list *runnerList) listKey() string { return "z/" + list.zone + "/runners" }

// heartbeatPrefix returns the prefix of the keys of heartbeats; the rest of a key is the daemon's address.
func (list *runnerList) heartbeatPrefix() string { return "z/" + list.zone + "/beat/" }

// setOrder sets the order of precedence of the zone's daemons in the election.
func (list *runnerList) setOrder(addresses []string) { list.election.SetOrder(addresses) }

// onGossipEntry handles a list or a heartbeat, and ignores other entries. It reports whether the entry is an outdated
// list, written by a previously elected daemon.
func (list *runnerList) onGossipEntry(now time.Time, entry *wire.GossipEntry) (outdated bool) {
	if entry.Key == list.listKey() {
		return list.onList(now, entry)
	}
	if address, found := strings.CutPrefix(entry.Key, list.heartbeatPrefix()); found {
		list.election.Observe(now, address)
	}
	return false
}

// onList adopts a list unless it is outdated, and reports whether it is. An undecodable list is ignored.
func (list *runnerList) onList(now time.Time, entry *wire.GossipEntry) (outdated bool) {
	content := &wire.RunnerList{}
	if proto.Unmarshal(entry.Value, content) != nil {
		return false
	}
	if !list.election.Accept(entry.Epoch, entry.Writer) {
		return true
	}
	list.lastList, list.runners = now, content.Runners
	return false
}

// tick sends a heartbeat if this daemon is a candidate, and requests a poll if it is elected or if no list has arrived
// for listTimeout.
func (list *runnerList) tick(now time.Time) {
	if now.Sub(list.lastHeartbeat) >= heartbeatInterval && list.election.IsCandidate(now, candidateCount) {
		list.sendHeartbeat(now)
	}
	if list.polling || now.Sub(list.lastPoll) < pollInterval {
		return
	}
	_, elected := list.election.Campaign(now)
	if elected || now.Sub(list.lastList) > listTimeout {
		list.lastPoll, list.polling, list.pollRequested = now, true, true
	}
}

// sendHeartbeat distributes a heartbeat to the zone's daemons by gossip.
func (list *runnerList) sendHeartbeat(now time.Time) {
	list.lastHeartbeat = now
	list.heartbeats++
	key := list.heartbeatPrefix() + list.address
	// Other daemons store the last heartbeat of an earlier incarnation of this daemon, and ignore those that do not follow
	// it. Its epoch and count are only known from gossip.
	if known := list.gossip.Get(key); known != nil && list.supersededBy(known) {
		list.heartbeatEpoch = known.Epoch + 1
	}
	heartbeat := &wire.GossipEntry{Key: key, Epoch: list.heartbeatEpoch, Count: list.heartbeats, Writer: list.address}
	list.gossip.Put(now, heartbeat, heartbeatHops)
}

// supersededBy reports whether other daemons that store a known heartbeat would ignore the next one.
func (list *runnerList) supersededBy(known *wire.GossipEntry) bool {
	if known.Epoch != list.heartbeatEpoch {
		return known.Epoch > list.heartbeatEpoch
	}
	return known.Count >= list.heartbeats
}

// takePollRequest reports whether a poll has been requested since the last call.
func (list *runnerList) takePollRequest() bool {
	requested := list.pollRequested
	list.pollRequested = false
	return requested
}

// polled handles the result of a poll. If failed is set, the list could not be read, and the previous one stays in use.
func (list *runnerList) polled(now time.Time, runners []*wire.Runner, failed bool) {
	list.polling = false
	if failed {
		return
	}
	epoch, elected := list.election.Campaign(now)
	if !elected {
		// This daemon polled for itself because no list arrived. It does not distribute the list, as only the elected daemon
		// writes the entry.
		list.runners = runners
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.RunnerList{Runners: runners})
	if err != nil {
		return // A list that can't be encoded is handled like a list that could not be read.
	}
	known := list.gossip.Get(list.listKey())
	entry := &wire.GossipEntry{
		Key:    list.listKey(),
		Epoch:  epoch,
		Count:  known.GetCount() + 1,
		Writer: list.address,
		Value:  value,
	}
	list.gossip.Put(now, entry, gossip.Hops)
}
