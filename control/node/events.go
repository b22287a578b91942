package node

import (
	"time"

	"wardtray/wire"
)

// onView handles that another view is agreed on.
func (node *Node) onView(now time.Time, current *wire.View) {
	node.counters.Views++
	node.proposer.Reset()
	node.grantor.Adopt(now, current)
	node.leases.Adopt(now, current)
	node.chain.Adopt(now, current)
	node.initialSynced = node.chain.Synced()
	node.leadership.Adopt(current)
	node.proposals.Adopt()
	// Neither the new head nor whoever could join should wait for the next interval.
	node.leadership.ExpediteRequest()
	node.detector.ExpediteHeartbeat()
	node.learner.Expedite()
	node.grantor.Tick(now)
	node.leadership.Tick(now)
	node.sendHeartbeats(now)
	node.learner.Tick(now, node.decommission.IsStarted())
}

// onCommit handles that a sequence is committed as far as this machine knows.
func (node *Node) onCommit(now time.Time, sequence uint64) {
	node.counters.Commits++
	node.leases.Committed(now, sequence)
	node.witness.Knows(sequence)
	node.directory.Publish(now)
	// The acceptors must know before the change may be acknowledged; they should not wait for the next request.
	node.leadership.ExpediteRequest()
	node.leadership.Tick(now)
}

// onHeartbeat handles another machine's heartbeat.
func (node *Node) onHeartbeat(now time.Time, heartbeat *wire.Heartbeat) {
	current := node.agent.Current()
	accepted, changed := node.detector.Observe(now, current.Fleet, heartbeat)
	if !accepted {
		return
	}
	if heartbeat.View < current.Epoch {
		node.agent.Tell(heartbeat.Member.Address)
	}
	// Whoever hears less or is about to stop may have to be replaced at once.
	if changed {
		node.proposer.Tick(node.facts(now))
	}
}

// onLeaderLeaseGrant handles an acceptor's grant, and what it reports to know to be committed.
func (node *Node) onLeaderLeaseGrant(now time.Time, sender string, grant *wire.LeaderLeaseGrant) {
	if !node.leadership.Granted(now, sender, grant) {
		return
	}
	expiry := now.Add(time.Duration(grant.ConfirmedMilliseconds) * time.Millisecond)
	node.leases.AcceptorReported(sender, grant.KnownSequence, expiry)
	node.proposals.Acknowledge(now)
}

// onDaemonLeaseRequest answers a data daemon: the head grants a lease, an acceptor confirms what the daemon has, and
// every machine passes on a newer view.
func (node *Node) onDaemonLeaseRequest(now time.Time, address string, request *wire.DaemonLeaseRequest) {
	newest := node.agent.Newest()
	grant := &wire.DaemonLeaseGrant{Nonce: request.Nonce, ViewEpoch: newest.Epoch,
		RunnersChecksum: node.registrar.Checksum(), Starting: now.Sub(node.started) < node.bounds.Starting}
	if request.View < newest.Epoch {
		grant.View = newest
	}
	if node.leadership.IsLeading(now) {
		document := node.chain.Committed()
		if node.leases.Request(now, address, request) && node.directory.Contains(document, address) {
			node.leases.Grant(now, address, grant)
		}
		if request.Quota != nil {
			grant.Quota = node.quotas.Grant(now, document, address, request.Quota, grant.Granted)
		}
	}
	if !grant.Granted {
		isMember := node.directory.Contains(node.directory.Newest(), address)
		grant.Confirmed = node.confirmer.Confirm(now, address, request, isMember)
		grant.Sequence = node.witness.Known()
	}
	node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: grant}})
	node.proposals.Acknowledge(now)
}

// sendHeartbeats sends a heartbeat to every address where a disk machine may be, if one is due.
func (node *Node) sendHeartbeats(now time.Time) {
	if !node.detector.TakeHeartbeat(now) {
		return
	}
	current := node.agent.Current()
	heartbeat := &wire.Heartbeat{Member: node.self, View: current.Epoch, Fleet: current.Fleet, Blank: current.Epoch == 0,
		Unhealthy: node.disk.IsUnhealthy(now), Synced: node.chain.Synced(), LearnedView: node.chain.LearnedView(),
		Decommissioning: node.decommission.IsStarted(), Reachable: node.detector.Reachable(now),
		UnleasedDaemons: node.unleased(now), Incomplete: node.chain.Incomplete()}
	for _, address := range node.coreAddresses() {
		node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: heartbeat}})
	}
	node.detector.Forget(now)
}
