package registry

import (
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// digestInterval is the minimum interval between requests for missing records.
const digestInterval = 250 * time.Millisecond

// Exchange keeps a table consistent with those of other processes: it merges updates, and when checksums differ the
// processes compare digests and send each other the missing records.
type Exchange struct {
	*Table
	outbox *statemachine.Outbox
	// lastDigest is the time at which a digest was last sent with a request for a response, requestedFrom its recipient.
	lastDigest    time.Time
	requestedFrom string
}

// NewExchange returns an exchange with an empty table.
func NewExchange(outbox *statemachine.Outbox) *Exchange {
	return &Exchange{Table: NewTable(), outbox: outbox}
}

func (exchange *Exchange) send(to string, update *wire.RunnerUpdate) {
	exchange.outbox.Send(to, &wire.Envelope{Body: &wire.Envelope_RunnerUpdate{RunnerUpdate: update}})
}

// HandleUpdate merges the records that another process sent, acknowledges them if the message has a nonce, and sends
// newer records back. It returns the records that changed the table.
func (exchange *Exchange) HandleUpdate(now time.Time, from string, message *wire.RunnerUpdate) []*wire.Runner {
	merged, newer := exchange.Merge(now, message.Runners)
	if message.Nonce != 0 {
		ack := &wire.RunnerUpdateAck{Nonce: message.Nonce}
		exchange.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_RunnerUpdateAck{RunnerUpdateAck: ack}})
	}
	if len(newer) > 0 {
		exchange.send(from, &wire.RunnerUpdate{Runners: newer})
	}
	return merged
}

// HandleDigest responds to a digest with the records that its sender lacks, and with this table's digest if the sender
// has newer records.
func (exchange *Exchange) HandleDigest(now time.Time, from string, message *wire.RunnerDigest) {
	missing := exchange.missingIn(now, message)
	// An empty response is sent as well, since a process that has just started waits for it.
	if len(missing) > 0 || message.ResponseWanted {
		exchange.send(from, &wire.RunnerUpdate{Runners: missing, Response: message.ResponseWanted})
	}
	if message.ResponseWanted && exchange.lacksAny(message) {
		exchange.sendDigest(from, false)
	}
}

func (exchange *Exchange) sendDigest(to string, responseWanted bool) {
	digest := exchange.digest(responseWanted)
	exchange.outbox.Send(to, &wire.Envelope{Body: &wire.Envelope_RunnerDigest{RunnerDigest: digest}})
}

// HandleChecksum handles the checksum of another process's table; if it differs from this one's, missing records are
// requested.
func (exchange *Exchange) HandleChecksum(now time.Time, from string, checksum uint64) {
	if checksum == exchange.Checksum() || now.Sub(exchange.lastDigest) < digestInterval {
		return
	}
	exchange.RequestMissing(now, from)
}

// RequestMissing requests all missing records from a process.
func (exchange *Exchange) RequestMissing(now time.Time, to string) {
	exchange.lastDigest, exchange.requestedFrom = now, to
	exchange.sendDigest(to, true)
}

// EnsureRequested requests all missing records from a process whose response a caller waits for, unless they were
// requested from it within digestInterval.
func (exchange *Exchange) EnsureRequested(now time.Time, to string) {
	if exchange.requestedFrom != to || now.Sub(exchange.lastDigest) >= digestInterval {
		exchange.RequestMissing(now, to)
	}
}
