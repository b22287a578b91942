// Package machine is what every coordination part of wardtray shares: an outbox into which a
// pure state machine puts the messages it sends and the disk writes it wants. A part starts no
// goroutine and reads no clock; a driver (a process, or the simulator) hands it the time,
// messages, ticks and disk completions, then drains the outbox and carries it out.
package statemachine

import (
	"time"

	"wardtray/wire"
)

// Message is a message on its way to an address.
type Message struct {
	To       string
	Envelope *wire.Envelope
}

// Write is one disk request. Requests are carried out in order; each holds either a record for
// the log or a whole memory that begins a new log.
type Write struct {
	Sequence uint64
	Record   *wire.Record
	Memory   *wire.DurableState
	// Sweep asks, in the place of both, to read everything back.
	Sweep bool
}

// Outbox gathers what one step of a machine asks of its driver.
type Outbox struct {
	Messages []Message
	Writes   []Write

	next    uint64
	waiting []waiting
}

type waiting struct {
	sequence uint64
	since    time.Time
	then     func(now time.Time)
}

// NewOutbox makes an empty outbox.
func NewOutbox() *Outbox { return &Outbox{} }

// Send puts a message into the outbox.
func (outbox *Outbox) Send(to string, envelope *wire.Envelope) {
	outbox.Messages = append(outbox.Messages, Message{To: to, Envelope: envelope})
}

// Persist asks for a record to be synced; then runs once it is, and never if it is not.
func (outbox *Outbox) Persist(now time.Time, record *wire.Record, then func(now time.Time)) {
	outbox.ask(now, Write{Record: record}, then)
}

// Replace asks for a whole memory to be written to the other slot. The memory must hold all that
// was asked before, for its completion completes the earlier writes too.
func (outbox *Outbox) Replace(now time.Time, memory *wire.DurableState, then func(now time.Time)) {
	outbox.ask(now, Write{Memory: memory}, then)
}

// Sweep asks for everything to be read back.
func (outbox *Outbox) Sweep(now time.Time) {
	outbox.ask(now, Write{Sweep: true}, func(time.Time) {})
}

func (outbox *Outbox) ask(now time.Time, write Write, then func(now time.Time)) {
	outbox.next++
	write.Sequence = outbox.next
	outbox.waiting = append(outbox.waiting, waiting{sequence: write.Sequence, since: now, then: then})
	outbox.Writes = append(outbox.Writes, write)
}

// Done tells the outbox that a write, and with it every earlier one, is synced.
func (outbox *Outbox) Done(now time.Time, sequence uint64) {
	for len(outbox.waiting) > 0 && outbox.waiting[0].sequence <= sequence {
		finished := outbox.waiting[0]
		outbox.waiting = outbox.waiting[1:]
		finished.then(now)
	}
}

// Oldest tells for how long the oldest unfinished write has waited.
func (outbox *Outbox) Oldest(now time.Time) time.Duration {
	if len(outbox.waiting) == 0 {
		return 0
	}
	return now.Sub(outbox.waiting[0].since)
}

// Drain hands over what has gathered and empties the outbox.
func (outbox *Outbox) Drain() ([]Message, []Write) {
	parcels, writes := outbox.Messages, outbox.Writes
	outbox.Messages, outbox.Writes = nil, nil
	return parcels, writes
}
