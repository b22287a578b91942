package storage

import "wardtray/coordination/statemachine"

// WriteQueue holds the writes that a disk has not begun. It is bounded, and it never lets a write pass
// that would follow a lost one: after an overflow it takes nothing until a whole memory comes, which
// holds all that was lost. Offer is for one thread at a time; the disk's thread reads Writes.
type WriteQueue struct {
	Writes chan statemachine.Write
	broken bool
}

// NewWriteQueue makes one of a length.
func NewWriteQueue(length int) *WriteQueue {
	return &WriteQueue{Writes: make(chan statemachine.Write, length)}
}

// Offer tells whether the write was taken.
func (queue *WriteQueue) Offer(write statemachine.Write) bool {
	if queue.broken && write.Memory == nil {
		return false
	}
	select {
	case queue.Writes <- write:
		queue.broken = false
		return true
	default:
		queue.broken = true
		return false
	}
}
