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
	node.failWaiters(now)
	// Neither the new head nor whoever could join should wait for a round.
	node.lastLearn = time.Time{}
	node.leadership.ExpediteRequest()
	node.detector.ExpediteHeartbeat()
	node.grantor.Tick(now)
	node.leadership.Tick(now)
	node.sendHeartbeats(now)
	node.tendLearning(now)
}
