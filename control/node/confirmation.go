package node

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// previousAcceptors are the acceptors of a view before the present one, whose words to daemons may be relied on until a
// moment. No members stands for acceptors that this machine never heard of.
type previousAcceptors struct {
	members []*wire.Member
	until   time.Time
}

// leaseLength is for how long a daemon's lease may run, counted from whenever it was granted, with a margin for
// clocks that drift.
func (node *Node) leaseLength() time.Duration { return node.settings.Staleness + leaseMargin }

// newestOf gives the newest sequence of a history, committed or not.
func newestOf(committed *wire.Document, pending []*wire.Entry) uint64 {
	if count := len(pending); count > 0 {
		return pending[count-1].Sequence
	}
	return committed.GetSequence()
}

// heldSinceStart gives up to where the history that the disk held at the start of this process is still there.
func (node *Node) heldSinceStart() uint64 {
	return min(node.heldAtStart, newestOf(node.chain.Committed(), node.chain.Pending()))
}

// confirms tells whether this machine, as a acceptor, tells a daemon that it knows of nothing newer. A acceptor that has
// voted for the next view confirms nothing in this one, as it grants no lease to the head: a daemon's majority in this
// view so ends when the next one is chosen.
func (node *Node) confirms(now time.Time, daemon string, message *wire.DaemonLeaseRequest) bool {
	current := node.agent.Current()
	if !node.inDirectory(node.newestDirectory(), daemon) || message.View != current.Epoch || node.agent.Newest().Epoch != current.Epoch || node.agent.Voted() || !membership.IsAcceptor(current, node.self.Id) {
		node.witness.Heard(daemon, message.Sequence)
		return false
	}
	return node.witness.Confirm(now, daemon, message.Sequence, node.heldSinceStart())
}

// rememberAcceptors keeps the acceptors of the view that ends in mind for as long as a daemon may rely on their word.
func (node *Node) rememberAcceptors(now time.Time, previous, current *wire.View) {
	kept := node.previousAcceptors[:0]
	for _, group := range node.previousAcceptors {
		if now.Before(group.until) {
			kept = append(kept, group)
		}
	}
	node.previousAcceptors = kept
	group := previousAcceptors{until: now.Add(node.leaseLength())}
	if current.Epoch == previous.Epoch+1 {
		group.members = previous.Acceptors
	}
	if previous.Epoch > 0 && !(current.Epoch == previous.Epoch+1 && membership.SameSet(previous.Acceptors, current.Acceptors)) {
		node.previousAcceptors = append(node.previousAcceptors, group)
	}
}

// mostKnow tells whether a majority of the acceptors knows a sequence, so that no majority confirms less from now on.
func (node *Node) mostKnow(sequence uint64) bool {
	acceptors, knowing := node.agent.Current().Acceptors, 0
	for _, acceptor := range acceptors {
		if node.head.ledger.Knows(acceptor.Id, sequence) {
			knowing++
		}
	}
	return knowing >= view.Majority(len(acceptors))
}

// acceptorsClear tells whether no majority of acceptors, of this view or of one that ended a moment ago, can have a daemon
// rely on less than a sequence.
func (node *Node) acceptorsClear(now time.Time, sequence uint64) bool {
	if !node.mostClear(now, node.agent.Current().Acceptors, sequence) {
		return false
	}
	for _, group := range node.previousAcceptors {
		if now.Before(group.until) && !node.mostClear(now, group.members, sequence) {
			return false
		}
	}
	return true
}

// mostClear tells whether a majority of some acceptors knows a sequence, with all older words of theirs over.
func (node *Node) mostClear(now time.Time, acceptors []*wire.Member, sequence uint64) bool {
	count := 0
	for _, acceptor := range acceptors {
		if node.head.ledger.Clear(now, acceptor.Id, sequence) {
			count++
		}
	}
	return count >= view.Majority(len(acceptors))
}

// absent lists the daemons of the directory that hold no lease of this head's; only a head that has led for longer
// than any lease can tell.
func (node *Node) absent(now time.Time) []string {
	if !node.leading(now) || now.Sub(node.head.started) < node.leaseLength() {
		return nil
	}
	var absent []string
	for _, member := range node.chain.Committed().Directory {
		if known := node.head.daemons[member.Address]; known == nil || now.Sub(known.granted) >= node.leaseLength() || known.gone.After(known.granted) {
			absent = append(absent, member.Address)
		}
	}
	return absent
}

// absentByHead gives the daemons that hold no lease by the word of the present head, if that is a fresh one.
func (node *Node) absentByHead(now time.Time) []string {
	current := node.agent.Current()
	if len(current.Chain) == 0 {
		return nil
	}
	head := current.Chain[0].Id
	if head == node.self.Id {
		return node.absent(now)
	}
	if peer := node.detector.Peer(head); peer != nil && node.detector.IsAlive(now, head) && peer.Heartbeat.View == current.Epoch {
		return peer.Heartbeat.UnleasedDaemons
	}
	return nil
}
