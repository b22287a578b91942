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
	// heartbeatHops is how many times a heartbeat is passed on.
	heartbeatHops = 2
	// candidateCount is how many of the first live daemons of a zone send heartbeats.
	candidateCount = 3
	pollInterval   = 400 * time.Millisecond
	// listTimeout is for how long a daemon waits for the zone's list before it polls the platform for itself.
	listTimeout = 1600 * time.Millisecond
)

// runnerList is the platform's list of runners: one elected daemon of each zone polls it and passes it on by gossip. It
// is unused if runners register themselves.
type runnerList struct {
	zone     string
	address  string
	election *election.Election
	gossip   *gossip.Store
	// runners is the newest list.
	runners       []*wire.Runner
	lastList      time.Time
	lastHeartbeat time.Time
	// heartbeats counts this daemon's heartbeats; heartbeatEpoch puts them above those of its previous incarnations.
	heartbeats     uint64
	heartbeatEpoch uint64
	lastPoll       time.Time
	// polling is set from a poll request to its result; pollRequested until the owner has noticed the request.
	polling       bool
	pollRequested bool
}

// newRunnerList returns an empty list.
func newRunnerList(zone, address string, election *election.Election, store *gossip.Store) *runnerList {
	return &runnerList{zone: zone, address: address, election: election, gossip: store}
}

// listKey returns the key of the gossip entry that carries the list.
func (list *runnerList) listKey() string { return "z/" + list.zone + "/runners" }

// heartbeatPrefix returns the beginning of the keys of heartbeats, which a daemon's address follows.
func (list *runnerList) heartbeatPrefix() string { return "z/" + list.zone + "/beat/" }

// setOrder sets the order in which the zone's daemons are elected.
func (list *runnerList) setOrder(addresses []string) { list.election.SetOrder(addresses) }

// onGossipEntry handles a list or a heartbeat, and ignores other entries. It reports whether the entry is a list of a
// daemon that was elected earlier.
func (list *runnerList) onGossipEntry(now time.Time, entry *wire.GossipEntry) (outdated bool) {
	if entry.Key == list.listKey() {
		return list.onList(now, entry)
	}
	if address, found := strings.CutPrefix(entry.Key, list.heartbeatPrefix()); found {
		list.election.Observe(now, address)
	}
	return false
}

// onList adopts a list and reports whether it is outdated. One that can't be read is ignored.
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

// tick sends a heartbeat if this daemon may be elected next, and requests a poll if it is elected or if nobody else
// seems to poll.
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

// sendHeartbeat spreads a heartbeat among the zone's daemons.
func (list *runnerList) sendHeartbeat(now time.Time) {
	list.lastHeartbeat = now
	list.heartbeats++
	key := list.heartbeatPrefix() + list.address
	// Others remember the heartbeats of an earlier incarnation of this daemon, which this one must exceed. How far those
	// got is only known from gossip.
	if known := list.gossip.Get(key); known != nil && list.precedes(known) {
		list.heartbeatEpoch = known.Epoch + 1
	}
	heartbeat := &wire.GossipEntry{Key: key, Epoch: list.heartbeatEpoch, Count: list.heartbeats, Writer: list.address}
	list.gossip.Put(now, heartbeat, heartbeatHops)
}

// precedes reports whether a known heartbeat would make others ignore the next one.
func (list *runnerList) precedes(known *wire.GossipEntry) bool {
	if known.Epoch != list.heartbeatEpoch {
		return known.Epoch > list.heartbeatEpoch
	}
	return known.Count >= list.heartbeats
}

// takePollRequest reports whether a poll was requested since the last call.
func (list *runnerList) takePollRequest() bool {
	requested := list.pollRequested
	list.pollRequested = false
	return requested
}

// polled handles the result of a poll; failed means that the list could not be read, which changes nothing.
func (list *runnerList) polled(now time.Time, runners []*wire.Runner, failed bool) {
	list.polling = false
	if failed {
		return
	}
	epoch, elected := list.election.Campaign(now)
	if !elected {
		// This daemon polled for itself because no list arrived; others must not take it for that of the elected one.
		list.runners = runners
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.RunnerList{Runners: runners})
	if err != nil {
		return // A list that can't be encoded counts as one that could not be read.
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
