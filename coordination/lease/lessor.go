package lease

import (
	"time"

	"wardtray/wire"
)

// Lessor is the side that grants the head's lease, at one acceptor.
//
// A leadership term is a run of successive views with the same head. Within a term that machine
// alone requests the lease, so only the heads of earlier terms have to be waited for. Their leases
// have expired a lease.LessorTTL after this acceptor learned of the new term, or sooner where each of
// them is proven to act no more: it has adopted the new term itself, or nothing listens at its
// address any longer.
type Lessor struct {
	// term is the epoch of the view in which the present leadership term began; 0 before any view
	// was learned.
	term      uint64
	learnedAt time.Time
	// grantsFrom is from when on the head of the present term may be granted the lease.
	grantsFrom time.Time
	// previousHeads are those of earlier terms whose leases may still be valid. unknownHeads is set
	// where there may be others, of terms that this acceptor never learned of.
	previousHeads []*wire.Member
	unknownHeads  bool
	head          *wire.Member
	// headEpoch is the newest epoch that the head was observed to act under, perhaps one that this
	// acceptor is yet to learn of.
	headEpoch uint64
}

// NewLessor returns the lessor of an acceptor that starts with the view on its disk. cleared is the
// term, also from its disk, for which it may grant at once; 0 where there is none.
func NewLessor(now time.Time, view *wire.View, cleared uint64) *Lessor {
	lessor := &Lessor{unknownHeads: true}
	lessor.AdoptView(now, view)
	if lessor.term > 0 && lessor.term == cleared {
		lessor.grantsFrom = now
	}
	return lessor
}

// AdoptView adopts a view that is newer than the present one.
func (lessor *Lessor) AdoptView(now time.Time, view *wire.View) {
	if view.GetEpoch() == 0 || view.HeadTerm == lessor.term && lessor.term > 0 {
		return
	}
	previous := lessor.head
	// Heads of terms that this acceptor never learned of may hold leases too.
	known := lessor.precedes(view)
	if now.Before(lessor.grantsFrom) {
		known = known && !lessor.unknownHeads
	} else {
		lessor.previousHeads = nil
	}
	// A head that leaves in order announces the new term before this acceptor has synced its view.
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

// precedes reports whether the present term is the one immediately before that of a view.
func (lessor *Lessor) precedes(view *wire.View) bool {
	if lessor.head == nil || view.PreviousHead == nil {
		return false
	}
	return view.PreviousHead.Id == lessor.head.Id && view.PreviousTerm == lessor.term
}

// Term returns the epoch of the view in which the present leadership term began.
func (lessor *Lessor) Term() uint64 { return lessor.term }

// ObserveEpoch handles the observation that a machine acts under the view of an epoch by now.
func (lessor *Lessor) ObserveEpoch(now time.Time, id string, epoch uint64) {
	if lessor.head != nil && id == lessor.head.Id {
		lessor.headEpoch = max(lessor.headEpoch, epoch)
	}
	if len(lessor.previousHeads) > 0 && epoch >= lessor.term {
		lessor.removePreviousHeads(now, func(head *wire.Member) bool { return head.Id == id })
	}
}

// ObserveRefusal handles the observation that nothing listened at an address when a connection was tried
// at a moment.
func (lessor *Lessor) ObserveRefusal(now time.Time, address string, tried time.Time) {
	// Before the term was learned a new incarnation of the same machine may still have obtained the lease.
	if len(lessor.previousHeads) > 0 && tried.After(lessor.learnedAt) {
		lessor.removePreviousHeads(now, func(head *wire.Member) bool { return head.Address == address })
	}
}

// removePreviousHeads removes the heads that are proven to act no more, and permits grants once
// none is left.
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

// CanGrant reports whether the head of the present term may be granted the lease; voted is whether
// this acceptor has voted for the next view.
func (lessor *Lessor) CanGrant(now time.Time, voted bool) bool {
	return !voted && lessor.head != nil && !now.Before(lessor.grantsFrom)
}
