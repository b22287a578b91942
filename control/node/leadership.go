package node

import (
	"time"

	"wardtray/wire"
)

// headState is what the head of the chain keeps for as long as it leads.
type headState struct {
	waiters []*waiter
	parked  []parked
	refused refusals
}

// onLeaderLeaseGrant handles an acceptor's grant, and what it reports to know to be committed.
func (node *Node) onLeaderLeaseGrant(now time.Time, acceptor string, grant *wire.LeaderLeaseGrant) {
	if !node.leadership.Granted(now, acceptor, grant) {
		return
	}
	expiry := now.Add(time.Duration(grant.ConfirmedMilliseconds) * time.Millisecond)
	node.leases.AcceptorReported(acceptor, grant.KnownSequence, expiry)
	node.answerWaiters(now)
}
