package node

import (
	"time"

	"wardtray/apierror"
	"wardtray/wire"
)

// waiter is an operator whose change is on its way.
type waiter struct {
	ask      *wire.OperatorRequest
	sequence uint64
	epoch    uint64
	until    time.Time
	view     uint64
}

func (node *Node) await(now time.Time, message *wire.OperatorRequest, sequence, epoch uint64) {
	for _, waiter := range node.head.waiters {
		if waiter.ask.Token == message.Token {
			return
		}
	}
	node.head.waiters = append(node.head.waiters, &waiter{ask: message, sequence: sequence, epoch: epoch,
		until: now.Add(waitBound), view: node.agent.Current().Epoch})
	node.answerWaiters(now)
}

// answerWaiters acknowledges every change that is committed and known where it must be.
func (node *Node) answerWaiters(now time.Time) {
	if len(node.head.waiters) == 0 {
		return
	}
	leading := node.leadership.IsLeading(now)
	kept := node.head.waiters[:0]
	for _, waiter := range node.head.waiters {
		if leading && node.delivered(now, waiter.sequence) {
			node.reply(waiter.ask, 200, Reply{Operation: waiter.ask.Operation, Outcome: "accepted", Epoch: waiter.epoch})
			continue
		}
		if now.After(waiter.until) {
			node.unknown(waiter)
			continue
		}
		kept = append(kept, waiter)
	}
	node.head.waiters = kept
}

func (node *Node) unknown(waiter *waiter) {
	node.counters.Unknown++
	reply := refusal(apierror.OutcomeUnknown, 0, waiter.ask.Operation, "on its way; ask with: wtctl operation "+waiter.ask.Operation)
	reply.Outcome = "unknown"
	node.reply(waiter.ask, 504, reply)
}

// failWaiters drops those who wait here once another machine is head. Why: where the question came in it is still
// open and goes to the new head, which finds the change in its history or takes it anew.
func (node *Node) failWaiters(_ time.Time) {
	if !node.chain.Head() {
		node.head.waiters = nil
	}
}
