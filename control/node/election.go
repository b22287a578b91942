package node

import (
	"time"

	"wardtray/wire"
)

// onView handles that another view is agreed on.
func (node *Node) onView(now time.Time, current *wire.View) {
	node.counters.Views++
	node.proposer.Reset()
	node.keeper.Learn(now, current)
	node.rememberAcceptors(now, node.lastView, current)
	node.lastView = current
	node.chain.Adopt(now, current)
	node.initialSynced = node.chain.Synced()
	if current.HeadTerm != node.head.term {
		node.head.started, node.head.term = time.Time{}, current.HeadTerm
	}
	node.failWaiters(now)
	// Neither the new head nor whoever could join should wait for a round.
	node.lastClaim, node.lastLearn = time.Time{}, time.Time{}
	node.detector.ExpediteHeartbeat()
	node.tendKeeping(now)
	node.tendClaim(now)
	node.sendHeartbeats(now)
	node.tendLearning(now)
}
