package daemonlease

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// DeliveryContext is what delivery depends on beside the leases: since when this process leads, and how redundant
// the chain and its acceptors are.
type DeliveryContext struct {
	Now time.Time
	// Since is when this process first led in the present term; zero if it has not.
	Since time.Time
	View  *wire.View
	// IsGrowing reports whether there are too few acceptors although more could be added.
	IsGrowing func() bool
}

// previousAcceptors are the acceptors of a view before the present one, whose confirmations to daemons may be relied on
// for a while. Empty members mean unknown acceptors, whose confirmations can only expire.
type previousAcceptors struct {
	members []*wire.Member
	until   time.Time
}

// Restarted handles that the process began with a view that its disk held: which views ended a moment before it began
// is not known.
func (leases *Leases) Restarted(now time.Time) {
	leases.previous = []previousAcceptors{{until: now.Add(leases.Length())}}
}

// Adopt handles that another view is agreed on. The acceptors of the one before count for as long as a daemon may rely
// on what they confirmed.
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

// AcceptorReported notes which sequence an acceptor knows to be committed, and when its confirmations of older ones
// end.
func (leases *Leases) AcceptorReported(acceptor string, sequence uint64, until time.Time) {
	leases.acceptorProgress.Report(acceptor, sequence, until)
}

// IsDelivered reports whether a committed change may be acknowledged: a majority of the acceptors knows it, and no
// lease from before can still run at a daemon that does not, whether this head granted it, the head before it, or a
// majority of acceptors. Only daemons of the directory get leases, so where all of them are known to have the change
// none can.
func (leases *Leases) IsDelivered(leader DeliveryContext, sequence uint64) bool {
	document := leases.chain.Committed()
	if document.Sequence < sequence || leader.Since.IsZero() {
		return false
	}
	// A chain that shrank since the change was requested has fewer replicas than a change needs.
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

// majorityKnows reports whether a majority of the acceptors knows a sequence, so that no majority confirms less from
// now on.
func (leases *Leases) majorityKnows(acceptors []*wire.Member, sequence uint64) bool {
	knowing := 0
	for _, acceptor := range acceptors {
		if leases.acceptorProgress.HasCommitted(acceptor.Id, sequence) {
			knowing++
		}
	}
	return knowing >= view.Majority(len(acceptors))
}

// confirmationsExpired reports whether no majority of acceptors, of this view or of one that ended a moment ago, can
// have a daemon rely on less than a sequence.
func (leases *Leases) confirmationsExpired(leader DeliveryContext, sequence uint64) bool {
	if !leases.majorityClear(leader.Now, leader.View.Acceptors, sequence) {
		return false
	}
	for _, group := range leases.previous {
		if leader.Now.Before(group.until) && !leases.majorityClear(leader.Now, group.members, sequence) {
			return false
		}
	}
	return true
}

// majorityClear reports whether a majority of some acceptors knows a sequence, and all their older confirmations
// expired.
func (leases *Leases) majorityClear(now time.Time, acceptors []*wire.Member, sequence uint64) bool {
	count := 0
	for _, acceptor := range acceptors {
		if leases.acceptorProgress.Fenced(now, acceptor.Id, sequence) {
			count++
		}
	}
	return count >= view.Majority(len(acceptors))
}

// allDaemonsKnow reports whether every daemon that may hold a lease knows a sequence, or has ended since its commit.
func (leases *Leases) allDaemonsKnow(document *wire.Document, sequence uint64) bool {
	committed, found := leases.commits[sequence]
	return found && leases.allUpToDate(document, sequence, committed)
}

// previousLeasesExpired reports whether no lease of the head before this one can run at a daemon that does not know a
// sequence. It may have granted one to anybody in the directory, or in the one before, until this term began.
func (leases *Leases) previousLeasesExpired(leader DeliveryContext, document *wire.Document, sequence uint64) bool {
	return leader.Now.Sub(leader.Since) >= leases.Length() || leases.allUpToDate(document, sequence, leader.Since)
}

// leasesExpired reports whether no lease of this head's can run at a daemon that does not know a sequence. Every lease
// granted since the commit obliges its daemon to know the change, so only older ones count.
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

// allUpToDate reports whether every daemon of a document's directory, and of the one before, is up to date.
func (leases *Leases) allUpToDate(document *wire.Document, sequence uint64, since time.Time) bool {
	for _, member := range membership.Join(document.Directory, document.PreviousDirectory) {
		if !leases.isUpToDate(member.Address, sequence, since) {
			return false
		}
	}
	return true
}

// isUpToDate reports whether a daemon knows a sequence, or whether its process ended after a moment: the next one there
// knows nothing and serves nobody before it has learned all that is newer.
func (leases *Leases) isUpToDate(address string, sequence uint64, since time.Time) bool {
	known := leases.daemons[address]
	return known != nil && (known.requests > 0 && known.sequence >= sequence || known.terminated.After(since))
}
