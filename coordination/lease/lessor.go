package lease

import (
	"time"

	"wardtray/wire"
)

// Lessor decides whether the head's lease may be granted, at one acceptor.
//
// A leadership term is a sequence of successive views with the same head. Within a term only that machine requests the
// lease, so only the leases of the heads of earlier terms have to expire. They have expired LessorTTL after this
// acceptor learned of the new term. Grants are possible sooner if each of those heads is proven to be inactive: it has
// adopted the new term itself, or nothing listens at its address any longer.
type Lessor struct {
	// term is the epoch of the view in which the current leadership term began; 0 before any view was learned.
	term uint64
	// learnedAt is the moment at which this acceptor learned of the term.
	learnedAt time.Time
	// grantsFrom is the moment from which the head of the current term may be granted the lease.
	grantsFrom time.Time
	// previousHeads are the heads of earlier terms whose leases may still be valid. unknownHeads reports whether there may
	// be others, of terms that this acceptor never learned of.
	previousHeads []*wire.Member
	unknownHeads  bool
	head          *wire.Member
	// headEpoch is the newest view epoch that the head was observed to act under. This acceptor may not have learned of
	// that view yet.
	headEpoch uint64
}

// NewLessor returns the lessor of an acceptor that starts with the view on its disk. cleared, also from its disk, is
// the term in which the acceptor could grant before the restart, and so may grant immediately now; 0 if there is none.
func NewLessor(now time.Time, view *wire.View, cleared uint64) *Lessor {
	lessor := &Lessor{unknownHeads: true}
	lessor.AdoptView(now, view)
	if lessor.term > 0 && lessor.term == cleared {
		lessor.grantsFrom = now
	}
	return lessor
}

// AdoptView adopts a view that is newer than the current one.
func (lessor *Lessor) AdoptView(now time.Time, view *wire.View) {
	if view.GetEpoch() == 0 || view.HeadTerm == lessor.term && lessor.term > 0 {
		return
	}
	previous := lessor.head
	// If this acceptor missed a term, the head of that term may hold a lease too.
	known := lessor.precedes(view)
	if now.Before(lessor.grantsFrom) {
		known = known && !lessor.unknownHeads
	} else {
		lessor.previousHeads = nil
	}
	// In a planned handover the previous head announces the new term before this acceptor has synced the view.
	if known && lessor.headEpoch < view.HeadTerm {
		lessor.previousHeads = append(lessor.previousHeads, previous)
	}
	lessor.unknownHeads = !known
	lessor.term, lessor.learnedAt, lessor.head = view.HeadTerm, now, view.Chain[0]
	lessor.grantsFrom = now.Add(LessorTTL)
	lessor.headEpoch = 0
	if view.HeadTerm == 1 || known && len(lessor.previousHeads) == 0 {
		lessor.grantsFrom = now
	}
}

// precedes reports whether the current term is the one immediately before the term of a view.
func (lessor *Lessor) precedes(view *wire.View) bool {
	if lessor.head == nil || view.PreviousHead == nil {
		return false
	}
	return view.PreviousHead.Id == lessor.head.Id && view.PreviousTerm == lessor.term
}

// Term returns the epoch of the view in which the current leadership term began; 0 before any view was learned.
func (lessor *Lessor) Term() uint64 { return lessor.term }

// ObserveEpoch handles the observation that a machine acts under the view of an epoch.
func (lessor *Lessor) ObserveEpoch(now time.Time, id string, epoch uint64) {
	if lessor.head != nil && id == lessor.head.Id {
		lessor.headEpoch = max(lessor.headEpoch, epoch)
	}
	if len(lessor.previousHeads) > 0 && epoch >= lessor.term {
		lessor.removePreviousHeads(now, func(head *wire.Member) bool { return head.Id == id })
	}
}

// ObserveConnectionRefused handles the observation that a connection to an address, attempted at the moment tried, was
// refused because nothing listened there.
func (lessor *Lessor) ObserveConnectionRefused(now time.Time, address string, tried time.Time) {
	// An earlier refusal proves nothing: a new incarnation of the same machine may have obtained the lease after it and
	// before the term was learned.
	if len(lessor.previousHeads) > 0 && tried.After(lessor.learnedAt) {
		lessor.removePreviousHeads(now, func(head *wire.Member) bool { return head.Address == address })
	}
}

// removePreviousHeads removes the heads that are proven to be inactive, and permits grants once none is left.
func (lessor *Lessor) removePreviousHeads(now time.Time, inactive func(head *wire.Member) bool) {
	var remaining []*wire.Member
	for _, head := range lessor.previousHeads {
		if !inactive(head) {
			remaining = append(remaining, head)
		}
	}
	lessor.previousHeads = remaining
	if len(remaining) == 0 && !lessor.unknownHeads && lessor.grantsFrom.After(now) {
		lessor.grantsFrom = now
	}
}

// PreviousHeads returns the addresses of the previous heads whose leases may still be valid.
func (lessor *Lessor) PreviousHeads(now time.Time) []string {
	var addresses []string
	if now.Before(lessor.grantsFrom) {
		for _, head := range lessor.previousHeads {
			addresses = append(addresses, head.Address)
		}
	}
	return addresses
}

// CanGrant reports whether the head of the current term may be granted the lease. voted reports whether this acceptor
// has voted for the next view.
func (lessor *Lessor) CanGrant(now time.Time, voted bool) bool {
	return !voted && lessor.head != nil && !now.Before(lessor.grantsFrom)
}
