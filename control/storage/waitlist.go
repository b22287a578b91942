package storage

import "wardtray/coordination/statemachine"

// Waitlist holds the writes that a disk has not begun. It is bounded, and it never lets a write pass
// that would follow a lost one: after an overflow it takes nothing until a whole memory comes, which
// holds all that was lost. Offer is for one thread at a time; the disk's thread reads Writes.
type Waitlist struct {
	Writes chan statemachine.Write
	broken bool
}

// NewWaitlist makes one of a length.
func NewWaitlist(length int) *Waitlist {
	return &Waitlist{Writes: make(chan statemachine.Write, length)}
}

// Offer tells whether the write was taken.
func (waitlist *Waitlist) Offer(write statemachine.Write) bool {
	if waitlist.broken && write.Memory == nil {
		return false
	}
	select {
	case waitlist.Writes <- write:
		waitlist.broken = false
		return true
	default:
		waitlist.broken = true
		return false
	}
}
