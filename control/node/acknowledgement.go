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
	leading := node.leading(now)
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

// delivered tells whether a committed change may be acknowledged: a majority of the acceptors knows it, and no lease from
// before can still run at a daemon that does not, whether the head granted it, the head before it, or a majority of
// acceptors. Only daemons of the directory get leases, so where all of them are known to have the change none can.
func (node *Node) delivered(now time.Time, sequence uint64) bool {
	document := node.chain.Committed()
	if document.Sequence < sequence || node.head.started.IsZero() {
		return false
	}
	// A chain that shrank since the change came in has fewer copies than a change needs.
	if current := node.agent.Current(); len(current.Chain) < int(current.MinReplicas) || node.facts(now).IsGrowing() {
		return false
	}
	if !node.mostKnow(sequence) {
		return false
	}
	return node.allDaemonsKnow(document, sequence) ||
		node.acceptorsClear(now, sequence) && node.previousLeasesOver(now, document, sequence) && node.leasesOver(now, sequence)
}

// allDaemonsKnow tells whether every daemon that may hold a lease knows a sequence, or has ended since it was committed.
func (node *Node) allDaemonsKnow(document *wire.Document, sequence uint64) bool {
	committed, found := node.head.commits[sequence]
	return found && node.allHarmless(document, sequence, committed)
}

// previousLeasesOver tells whether no lease of the head before this one can run at a daemon that does not know a
// sequence. It may have granted one to anybody in the directory, or in the one before, until this term began.
func (node *Node) previousLeasesOver(now time.Time, document *wire.Document, sequence uint64) bool {
	return now.Sub(node.head.started) >= node.leaseLength() || node.allHarmless(document, sequence, node.head.started)
}

// allHarmless tells whether every daemon of a document's directory, and of the one before, is harmless.
func (node *Node) allHarmless(document *wire.Document, sequence uint64, since time.Time) bool {
	for _, directory := range [][]*wire.Member{document.Directory, document.PreviousDirectory} {
		for _, member := range directory {
			if !node.harmless(member.Address, sequence, since) {
				return false
			}
		}
	}
	return true
}

// leasesOver tells whether no lease of this head's can run at a daemon that does not know a sequence. Every lease
// granted since the commit obliges its daemon to know the change, so only older ones count.
func (node *Node) leasesOver(now time.Time, sequence uint64) bool {
	if committed, found := node.head.commits[sequence]; found && now.Sub(committed) >= node.leaseLength() {
		return true
	}
	for _, daemon := range node.head.daemons {
		if daemon.sequence < sequence && now.Sub(daemon.granted) < node.leaseLength() && !daemon.gone.After(daemon.granted) {
			return false
		}
	}
	return true
}

// harmless tells whether a daemon knows a sequence, or whether its process ended after a moment: the next one
// there knows nothing and serves nobody before it has learned all that is newer.
func (node *Node) harmless(address string, sequence uint64, since time.Time) bool {
	known := node.head.daemons[address]
	return known != nil && (known.asks > 0 && known.sequence >= sequence || known.gone.After(since))
}
