// Package statemachine provides the Outbox that the coordination packages share. It collects the effects of a pure
// state machine: the messages that it sends and the disk writes that it requests.
//
// A state machine starts no goroutine and reads no clock. A driver (a process, or the simulator) calls it with the
// current time, received messages and completed writes; after each call it drains the outbox, sends the messages,
// executes the writes in order, and reports each completed write by Outbox.Done. Messages may be lost, repeated and
// reordered. A write either completes or, after a crash or a failed disk, never does; the driver reports no write as
// completed before it is synced.
//
// An Outbox is not safe for concurrent use.
package statemachine

import (
	"time"

	"wardtray/wire"
)

// Message is an outgoing message and its destination address.
type Message struct {
	To       string
	Envelope *wire.Envelope
}

// Write is one disk request. Requests are executed in order; exactly one of Write.Record, Write.Snapshot and
// Write.Scrub is set.
type Write struct {
	// Sequence numbers the requests of one outbox, beginning at 1.
	Sequence uint64
	// Record is appended to the log.
	Record *wire.Record
	// Snapshot is a snapshot of the complete state, which starts a new log.
	Snapshot *wire.DurableState
	// Scrub requests that all stored data be read back and compared with the expected contents.
	Scrub bool
}

// Outbox collects the messages and writes that a state machine requests from its driver, and tracks pending writes.
type Outbox struct {
	Messages []Message
	Writes   []Write

	lastSequence uint64
	pending      []pendingWrite
}

// pendingWrite is a requested write that has not completed yet.
type pendingWrite struct {
	sequence    uint64
	requestedAt time.Time
	onSynced    func(now time.Time)
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{} }

// Send adds a message to the outbox.
func (outbox *Outbox) Send(to string, envelope *wire.Envelope) {
	outbox.Messages = append(outbox.Messages, Message{To: to, Envelope: envelope})
}

// Persist requests that a record be synced. onSynced is called once it is synced, and never otherwise.
func (outbox *Outbox) Persist(now time.Time, record *wire.Record, onSynced func(now time.Time)) {
	outbox.request(now, Write{Record: record}, onSynced)
}

// PersistSnapshot requests that a snapshot of the complete state be written to the slot that doesn't hold the newest
// one (see package snapshot). The snapshot must contain the effects of all writes requested before it, since its
// completion completes those writes too.
func (outbox *Outbox) PersistSnapshot(now time.Time, state *wire.DurableState, onSynced func(now time.Time)) {
	outbox.request(now, Write{Snapshot: state}, onSynced)
}

// Scrub requests that all stored data be read back and compared with the expected contents.
func (outbox *Outbox) Scrub(now time.Time) {
	outbox.request(now, Write{Scrub: true}, func(time.Time) {})
}

func (outbox *Outbox) request(now time.Time, write Write, onSynced func(now time.Time)) {
	outbox.lastSequence++
	write.Sequence = outbox.lastSequence
	outbox.pending = append(outbox.pending, pendingWrite{sequence: write.Sequence, requestedAt: now, onSynced: onSynced})
	outbox.Writes = append(outbox.Writes, write)
}

// Done records that a write and every earlier one are synced, and calls their callbacks in the order of the requests.
func (outbox *Outbox) Done(now time.Time, sequence uint64) {
	for len(outbox.pending) > 0 && outbox.pending[0].sequence <= sequence {
		completed := outbox.pending[0]
		outbox.pending = outbox.pending[1:]
		completed.onSynced(now)
	}
}

// OldestWait returns the time since the oldest pending write was requested; 0 if none is pending.
func (outbox *Outbox) OldestWait(now time.Time) time.Duration {
	if len(outbox.pending) == 0 {
		return 0
	}
	return now.Sub(outbox.pending[0].requestedAt)
}

// Drain returns the collected messages and writes and empties the outbox. Writes stay pending until Done.
func (outbox *Outbox) Drain() ([]Message, []Write) {
	messages, writes := outbox.Messages, outbox.Writes
	outbox.Messages, outbox.Writes = nil, nil
	return messages, writes
}
