package registry

import (
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// digestInterval is how often, at most, a process requests what it may have missed.
const digestInterval = 250 * time.Millisecond

// Exchange keeps a table the same as those of other processes: updates are merged, and where
// checksums differ digests are compared and what is missing is sent both ways.
type Exchange struct {
	*Table
	outbox *statemachine.Outbox
	// lastDigest is when a digest was last sent with a request for a response, to requested.
	lastDigest time.Time
	requested  string
}

// NewExchange returns an exchange with an empty table.
func NewExchange(outbox *statemachine.Outbox) *Exchange {
	return &Exchange{Table: NewTable(), outbox: outbox}
}

func (exchange *Exchange) send(to string, update *wire.RunnerUpdate) {
	exchange.outbox.Send(to, &wire.Envelope{Body: &wire.Envelope_RunnerUpdate{RunnerUpdate: update}})
}

// HandleUpdate merges what another process sent, acknowledges it where that is wanted, and corrects a
// sender that is behind. It returns the records that changed our table.
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

// HandleDigest responds to a digest with what its sender lacks, and with our own digest where the sender
// has something newer.
func (exchange *Exchange) HandleDigest(now time.Time, from string, message *wire.RunnerDigest) {
	missing := exchange.missingIn(now, message)
	// An empty response is one too; a process that has just started waits for it.
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

// HandleChecksum handles the checksum of another process's table; where ours differs, digests are exchanged.
func (exchange *Exchange) HandleChecksum(now time.Time, from string, checksum uint64) {
	if checksum == exchange.Checksum() || now.Sub(exchange.lastDigest) < digestInterval {
		return
	}
	exchange.RequestMissing(now, from)
}

// RequestMissing requests of a process all that we lack.
func (exchange *Exchange) RequestMissing(now time.Time, to string) {
	exchange.lastDigest, exchange.requested = now, to
	exchange.sendDigest(to, true)
}

// EnsureRequested requests of a process, for whose response something waits, all that we lack, unless it was
// requested a moment ago.
func (exchange *Exchange) EnsureRequested(now time.Time, to string) {
	if exchange.requested != to || now.Sub(exchange.lastDigest) >= digestInterval {
		exchange.RequestMissing(now, to)
	}
}
