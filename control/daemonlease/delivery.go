package daemonlease

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// DeliveryContext holds the conditions of delivery other than the leases: the time since which this process has led,
// and the redundancy of the chain and of its acceptors.
type DeliveryContext struct {
	Now time.Time
	// Since is the time at which this process first led in the current term; zero if it has not.
	Since time.Time
	View  *wire.View
	// IsGrowing reports whether there are too few acceptors although more could be added.
	IsGrowing func() bool
}

// previousAcceptors are the acceptors of an earlier view; daemons may rely on their confirmations for a limited time.
// If members is empty, the acceptors are unknown and their confirmations can only expire.
type previousAcceptors struct {
	members []*wire.Member
	until   time.Time
}

// HandleRestart must be called if the process started with a view read from its disk. Views that ended shortly before
// the start are unknown, so daemons may still rely on the confirmations of unknown acceptors.
func (leases *Leases) HandleRestart(now time.Time) {
	leases.previous = []previousAcceptors{{until: now.Add(leases.Length())}}
}

// Adopt handles a newly agreed view. The acceptors of the previous view still count for as long as a daemon may rely on
// their confirmations.
func (leases *Leases) Adopt(now time.Time, current *wire.View) {
	ended := leases.view
	leases.view = current
	remaining := leases.previous[:0]
	for _, group := range leases.previous {
		if now.Before(group.until) {
			remaining = append(remaining, group)
		}
	}
	leases.previous = remaining
	isSuccessor := current.Epoch == ended.Epoch+1
	if ended.Epoch == 0 || isSuccessor && membership.SameSet(ended.Acceptors, current.Acceptors) {
		return
	}
	group := previousAcceptors{until: now.Add(leases.Length())}
	if isSuccessor {
		group.members = ended.Acceptors
	}
	leases.previous = append(leases.previous, group)
}

// ObserveAcceptorProgress records the sequence that an acceptor knows to be committed, and the time at which its
// confirmations of older ones expire.
func (leases *Leases) ObserveAcceptorProgress(acceptor string, sequence uint64, until time.Time) {
	leases.acceptorProgress.Report(acceptor, sequence, until)
}

// IsDelivered reports whether a committed change may be acknowledged: a majority of the acceptors knows that it is
// committed, and no daemon without the change can still hold a lease, whether granted by this head, by the previous
// head, or by the confirmations of a majority of acceptors. Only daemons of the directory get leases, so it suffices
// that all of them are known to have the change.
func (leases *Leases) IsDelivered(leader DeliveryContext, sequence uint64) bool {
	document := leases.chain.Committed()
	if document.Sequence < sequence || leader.Since.IsZero() {
		return false
	}
	// A chain that has shrunk since the change was requested may have too few replicas to acknowledge it.
	if len(leader.View.Chain) < int(leader.View.MinReplicas) || leader.IsGrowing() {
		return false
	}
	if !leases.majorityKnows(leader.View.Acceptors, sequence) {
		return false
	}
	return leases.allDaemonsKnow(document, sequence) ||
		leases.confirmationsExpired(leader, sequence) && leases.previousLeasesExpired(leader, document, sequence) &&
			leases.leasesExpired(leader.Now, sequence)
}

// majorityKnows reports whether a majority of the acceptors knows that a sequence is committed, so that from now on no
// majority confirms an older document.
func (leases *Leases) majorityKnows(acceptors []*wire.Member, sequence uint64) bool {
	count := 0
	for _, acceptor := range acceptors {
		if leases.acceptorProgress.HasCommitted(acceptor.Id, sequence) {
			count++
		}
	}
	return count >= view.Majority(len(acceptors))
}

// confirmationsExpired reports whether no daemon can still rely on a majority of acceptors, of this view or of one that
// ended within the last lease length, that confirmed a document older than a sequence.
func (leases *Leases) confirmationsExpired(leader DeliveryContext, sequence uint64) bool {
	if !leases.majorityFenced(leader.Now, leader.View.Acceptors, sequence) {
		return false
	}
	for _, group := range leases.previous {
		if leader.Now.Before(group.until) && !leases.majorityFenced(leader.Now, group.members, sequence) {
			return false
		}
	}
	return true
}

// majorityFenced reports whether a majority of some acceptors knows that a sequence is committed, and all confirmations
// of older documents by this majority have expired.
func (leases *Leases) majorityFenced(now time.Time, acceptors []*wire.Member, sequence uint64) bool {
	count := 0
	for _, acceptor := range acceptors {
		if leases.acceptorProgress.Fenced(now, acceptor.Id, sequence) {
			count++
		}
	}
	return count >= view.Majority(len(acceptors))
}

// allDaemonsKnow reports whether every daemon that may hold a lease has the document with a sequence or a newer one, or
// has ended since the sequence was committed.
func (leases *Leases) allDaemonsKnow(document *wire.Document, sequence uint64) bool {
	committed, found := leases.commits[sequence]
	return found && leases.allUpToDate(document, sequence, committed)
}

// previousLeasesExpired reports whether no daemon whose document is older than a sequence can still hold a lease of the
// previous head. That head may have granted leases to every daemon of the directory, or of the previous directory,
// until this term began.
func (leases *Leases) previousLeasesExpired(leader DeliveryContext, document *wire.Document, sequence uint64) bool {
	return leader.Now.Sub(leader.Since) >= leases.Length() || leases.allUpToDate(document, sequence, leader.Since)
}

// leasesExpired reports whether no daemon whose document is older than a sequence can still hold a lease of this head.
// A lease granted after the commit requires its daemon to have the change, so only older leases count.
func (leases *Leases) leasesExpired(now time.Time, sequence uint64) bool {
	if committed, found := leases.commits[sequence]; found && now.Sub(committed) >= leases.Length() {
		return true
	}
	for _, daemon := range leases.daemons {
		if daemon.sequence < sequence && now.Sub(daemon.lastGrant) < leases.Length() && !daemon.isTerminated() {
			return false
		}
	}
	return true
}

// allUpToDate reports whether every daemon of a document's directory, and of the previous one, is up to date (see
// isUpToDate).
func (leases *Leases) allUpToDate(document *wire.Document, sequence uint64, since time.Time) bool {
	for _, member := range membership.Join(document.Directory, document.PreviousDirectory) {
		if !leases.isUpToDate(member.Address, sequence, since) {
			return false
		}
	}
	return true
}

// isUpToDate reports whether a daemon has the document with a sequence or a newer one, or its process ended after the
// time since: the next process at its address serves no request before it has the newest document.
func (leases *Leases) isUpToDate(address string, sequence uint64, since time.Time) bool {
	known := leases.daemons[address]
	return known != nil && (known.requests > 0 && known.sequence >= sequence || known.terminated.After(since))
}
