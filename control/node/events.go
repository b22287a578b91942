package node

import (
	"time"

	"wardtray/wire"
)

// onView handles a newly agreed view.
func (node *Node) onView(now time.Time, current *wire.View) {
	node.counters.Views++
	members, daemons := node.members, node.daemons
	members.proposer.Reset()
	daemons.grantor.Adopt(now, current)
	daemons.leases.Adopt(now, current)
	members.adopt(now, current)
	daemons.leadership.Adopt(current)
	node.proposals.Adopt()
	// Neither the new head nor a process that could join should wait for the next interval.
	daemons.leadership.ExpediteRequest()
	members.detector.ExpediteHeartbeat()
	daemons.learner.Expedite()
	daemons.grantor.Tick(now)
	daemons.leadership.Tick(now)
	members.sendHeartbeats(now, daemons.unleased)
	daemons.learner.Tick(now, members.decommission.IsStarted())
}

// onCommit handles the commit of a sequence, of which this machine has just learned.
func (node *Node) onCommit(now time.Time, sequence uint64) {
	node.counters.Commits++
	daemons := node.daemons
	daemons.leases.ObserveCommit(now, sequence)
	daemons.witness.ObserveCommit(sequence)
	daemons.directory.Publish(now)
	// The acceptors must learn of the commit before the change may be acknowledged, so they are notified at once and not
	// with the next periodic request.
	daemons.leadership.ExpediteRequest()
	daemons.leadership.Tick(now)
}

// handleLeaderLeaseGrant handles an acceptor's grant, and its report of the newest committed sequence that it knows.
func (node *Node) handleLeaderLeaseGrant(now time.Time, sender string, grant *wire.LeaderLeaseGrant) {
	if !node.daemons.leadership.HandleGrant(now, sender, grant) {
		return
	}
	expiry := now.Add(time.Duration(grant.ConfirmedMilliseconds) * time.Millisecond)
	node.daemons.leases.ObserveAcceptorProgress(sender, grant.KnownSequence, expiry)
	node.proposals.Acknowledge(now)
}

// handleDaemonLeaseRequest answers a data daemon. The answer includes the newest view if the daemon has an older one.
func (node *Node) handleDaemonLeaseRequest(now time.Time, address string, request *wire.DaemonLeaseRequest) {
	grant := &wire.DaemonLeaseGrant{Nonce: request.Nonce, ViewEpoch: node.members.agent.Newest().Epoch,
		RunnersChecksum: node.registrar.Checksum(), Starting: now.Sub(node.started) < node.bounds.Starting}
	node.daemons.fillGrant(now, address, request, grant)
	node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: grant}})
	node.proposals.Acknowledge(now)
}
