package node

import (
	"encoding/hex"
	"sort"
	"time"

	"wardtray/wire"
)

// tendView founds the first view, finishes a vote left open, or proposes a view that mends the
// present one.
func (node *Node) tendView(now time.Time) {
	if node.agent.Busy(now) {
		return
	}
	current := node.agent.Current()
	if current.Epoch == 0 {
		node.tendFounding(now)
		return
	}
	if !keeps(current, node.self.Id) {
		return
	}
	if node.agent.Voted() {
		// A acceptor that has voted grants no claims, so a vote left open must be brought to its end by somebody.
		if node.votedSince.IsZero() {
			node.votedSince = now
		}
		if now.Sub(node.votedSince) >= node.turn(now)+node.bounds.Stagger {
			node.votedSince = now
			node.agent.Propose(now, node.agent.Vote().Value)
		}
		return
	}
	node.votedSince = time.Time{}
	// Whoever has just begun has heard nobody yet, which says nothing about them.
	if now.Sub(node.started) < node.bounds.Suspicion {
		return
	}
	wanted := node.mended(now)
	if wanted == nil {
		node.wantSince = time.Time{}
		return
	}
	if node.wantSince.IsZero() {
		node.wantSince = now
	}
	if now.Sub(node.wantSince) >= node.turn(now) && now.Sub(node.lastMend) >= node.bounds.Stagger {
		node.lastMend = now
		node.agent.Propose(now, wanted)
	}
}

// turn gives how long this acceptor lets others go first: nothing for the first live one in order.
func (node *Node) turn(now time.Time) time.Duration {
	rank := time.Duration(0)
	for _, acceptor := range node.agent.Current().Acceptors {
		if acceptor.Id == node.self.Id {
			break
		}
		if node.fresh(now, acceptor.Id) {
			rank++
		}
	}
	return rank * node.bounds.Stagger
}

// tendFounding proposes the first view once every founder is there and blank.
func (node *Node) tendFounding(now time.Time) {
	if !node.acceptor() || now.Sub(node.lastMend) < node.bounds.Stagger {
		return
	}
	founders := []*wire.Member{node.self}
	for _, peer := range node.peers {
		if node.founder(peer.member.Address) {
			if !peer.heartbeat.Blank || now.Sub(peer.heard) >= node.bounds.Suspicion {
				return
			}
			founders = append(founders, peer.member)
		}
	}
	sort.Slice(founders, func(left, right int) bool { return founders[left].Address < founders[right].Address })
	if len(founders) != len(node.settings.Founders) {
		return
	}
	// One proposer is enough; the others come in only if its attempts fail for long.
	if founders[0].Id != node.self.Id && now.Sub(node.started) < 5*time.Second {
		return
	}
	node.lastMend = now
	fleet := make([]byte, 8)
	for place := range fleet {
		fleet[place] = byte(node.random.Intn(256))
	}
	node.agent.Found(now, &wire.View{Epoch: 1, Fleet: hex.EncodeToString(fleet), Chain: founders,
		Acceptors: founders[:min(len(founders), node.acceptorCount())], MinReplicas: node.floor(0, len(founders)), HeadTerm: 1}, founders)
}

func keeps(current *wire.View, id string) bool { return holds(current.Acceptors, id) }

func holds(members []*wire.Member, id string) bool {
	for _, member := range members {
		if member.Id == id {
			return true
		}
	}
	return false
}

// acceptor tells whether this machine may vote on the next view.
func (node *Node) acceptor() bool {
	current := node.agent.Current()
	return current.Epoch == 0 && node.founding && node.founder(node.self.Address) || keeps(current, node.self.Id)
}

func (node *Node) founder(address string) bool {
	for _, founder := range node.settings.Founders {
		if founder == address {
			return true
		}
	}
	return false
}

func (node *Node) onView(now time.Time, current *wire.View) {
	node.counters.Views++
	node.wantSince, node.votedSince = time.Time{}, time.Time{}
	node.brokenFrom = map[string]time.Time{}
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
	node.lastClaim, node.lastHeartbeat, node.lastLearn = time.Time{}, time.Time{}, time.Time{}
	node.tendKeeping(now)
	node.tendClaim(now)
	node.tendHeartbeats(now)
	node.tendLearning(now)
}
