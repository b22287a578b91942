package node

import (
	"time"

	"wardtray/wire"
)

// onView handles that another view is agreed on.
func (node *Node) onView(now time.Time, current *wire.View) {
	node.counters.Views++
	members, daemons := node.members, node.daemons
	members.proposer.Reset()
	daemons.grantor.Adopt(now, current)
	daemons.leases.Adopt(now, current)
	members.adopt(now, current)
	daemons.leadership.Adopt(current)
	node.proposals.Adopt()
	// Neither the new head nor whoever could join should wait for the next interval.
	daemons.leadership.ExpediteRequest()
	members.detector.ExpediteHeartbeat()
	daemons.learner.Expedite()
	daemons.grantor.Tick(now)
	daemons.leadership.Tick(now)
	members.sendHeartbeats(now, daemons.unleased)
	daemons.learner.Tick(now, members.decommission.IsStarted())
}

// onCommit handles that a sequence is committed as far as this machine knows.
func (node *Node) onCommit(now time.Time, sequence uint64) {
	node.counters.Commits++
	daemons := node.daemons
	daemons.leases.Committed(now, sequence)
	daemons.witness.ObserveCommit(sequence)
	daemons.directory.Publish(now)
	// The acceptors must know before the change may be acknowledged; they should not wait for the next request.
	daemons.leadership.ExpediteRequest()
	daemons.leadership.Tick(now)
}

// handleLeaderLeaseGrant handles an acceptor's grant, and what it reports to know to be committed.
func (node *Node) handleLeaderLeaseGrant(now time.Time, sender string, grant *wire.LeaderLeaseGrant) {
	if !node.daemons.leadership.HandleGrant(now, sender, grant) {
		return
	}
	expiry := now.Add(time.Duration(grant.ConfirmedMilliseconds) * time.Millisecond)
	node.daemons.leases.AcceptorReported(sender, grant.KnownSequence, expiry)
	node.proposals.Acknowledge(now)
}

// handleDaemonLeaseRequest answers a data daemon, also with a newer view than its own.
func (node *Node) handleDaemonLeaseRequest(now time.Time, address string, request *wire.DaemonLeaseRequest) {
	grant := &wire.DaemonLeaseGrant{Nonce: request.Nonce, ViewEpoch: node.members.agent.Newest().Epoch,
		RunnersChecksum: node.registrar.Checksum(), Starting: now.Sub(node.started) < node.bounds.Starting}
	node.daemons.fillGrant(now, address, request, grant)
	node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: grant}})
	node.proposals.Acknowledge(now)
}
