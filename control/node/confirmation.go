package node

import (
	"time"

	"wardtray/coordination/view"
	"wardtray/wire"
)

// formerKeepers are the keepers of a view before the present one, whose words to daemons may be relied on until a
// moment. No members stands for keepers that this machine never heard of.
type formerKeepers struct {
	members []*wire.Member
	until   time.Time
}

// leaseLength is for how long a daemon's lease may run, counted from whenever it was granted, with a margin for
// clocks that drift.
func (node *Node) leaseLength() time.Duration { return node.startup.Staleness + leaseMargin }

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

// confirms tells whether this machine, as a keeper, tells a daemon that it knows of nothing newer. A keeper that has
// voted for the next view confirms nothing in this one, as it grants no lease to the head: a daemon's majority in this
// view so ends when the next one is chosen.
func (node *Node) confirms(now time.Time, daemon string, message *wire.TickAsk) bool {
	current := node.agent.Current()
	if !node.inDirectory(node.newestDirectory(), daemon) || message.View != current.Epoch || node.agent.Newest().Epoch != current.Epoch || node.agent.Voted() || !keeps(current, node.self.Id) {
		node.witness.Heard(daemon, message.Sequence)
		return false
	}
	return node.witness.Confirm(now, daemon, message.Sequence, node.heldSinceStart())
}

// rememberKeepers keeps the keepers of the view that ends in mind for as long as a daemon may rely on their word.
func (node *Node) rememberKeepers(now time.Time, former, current *wire.View) {
	kept := node.formerKeepers[:0]
	for _, group := range node.formerKeepers {
		if now.Before(group.until) {
			kept = append(kept, group)
		}
	}
	node.formerKeepers = kept
	group := formerKeepers{until: now.Add(node.leaseLength())}
	if current.Epoch == former.Epoch+1 {
		group.members = former.Keepers
	}
	if former.Epoch > 0 && !(current.Epoch == former.Epoch+1 && sameMembers(former.Keepers, current.Keepers)) {
		node.formerKeepers = append(node.formerKeepers, group)
	}
}

func sameMembers(left, right []*wire.Member) bool {
	if len(left) != len(right) {
		return false
	}
	for _, member := range left {
		if !holds(right, member.Id) {
			return false
		}
	}
	return true
}

// mostKnow tells whether a majority of the keepers knows a sequence, so that no majority confirms less from now on.
func (node *Node) mostKnow(sequence uint64) bool {
	keepers, knowing := node.agent.Current().Keepers, 0
	for _, keeper := range keepers {
		if node.head.ledger.Knows(keeper.Id, sequence) {
			knowing++
		}
	}
	return knowing >= view.Majority(len(keepers))
}

// keepersClear tells whether no majority of keepers, of this view or of one that ended a moment ago, can have a daemon
// rely on less than a sequence.
func (node *Node) keepersClear(now time.Time, sequence uint64) bool {
	if !node.mostClear(now, node.agent.Current().Keepers, sequence) {
		return false
	}
	for _, group := range node.formerKeepers {
		if now.Before(group.until) && !node.mostClear(now, group.members, sequence) {
			return false
		}
	}
	return true
}

// mostClear tells whether a majority of some keepers knows a sequence, with all older words of theirs over.
func (node *Node) mostClear(now time.Time, keepers []*wire.Member, sequence uint64) bool {
	count := 0
	for _, keeper := range keepers {
		if node.head.ledger.Clear(now, keeper.Id, sequence) {
			count++
		}
	}
	return count >= view.Majority(len(keepers))
}

// absent lists the daemons of the directory that hold no lease of this head's; only a head that has led for longer
// than any lease can tell.
func (node *Node) absent(now time.Time) []string {
	if !node.leading(now) || now.Sub(node.head.begun) < node.leaseLength() {
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
	if peer := node.peers[head]; peer != nil && node.fresh(now, head) && peer.beat.View == current.Epoch {
		return peer.beat.Absent
	}
	return nil
}
