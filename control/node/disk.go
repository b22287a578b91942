package node

import (
	"time"

	"wardtray/control/durability"
	"wardtray/wire"
)

// Replay folds one record of the log into a state.
func Replay(state *wire.DurableState, record *wire.Record) { durability.Replay(state, record) }

// Memory returns all that this machine must not forget.
func (node *Node) Memory() *wire.DurableState {
	state := &wire.DurableState{Id: node.self.Id, View: node.agent.Current(), AcceptorState: node.agent.Vote(),
		Founding: node.proposer.IsFounding(), ClearedTerm: node.grantor.ClearedTerm()}
	node.chain.Memory(state)
	return state
}

// DiskFailed handles a write that could not be carried out. The machine reports itself unhealthy until a whole state
// has been written anew.
func (node *Node) DiskFailed(now time.Time) { node.disk.Failed(now) }
