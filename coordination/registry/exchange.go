package registry

import (
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// digestEvery is how often, at most, a process asks for what it may have missed.
const digestEvery = 250 * time.Millisecond

// Exchange keeps a book the same as those of others: news are joined, and where sums differ digests are
// compared and what is missing goes both ways.
type Exchange struct {
	*Table
	outbox   *statemachine.Outbox
	digested time.Time
	asked    string
}

// NewExchange makes an exchange with an empty book.
func NewExchange(outbox *statemachine.Outbox) *Exchange {
	return &Exchange{Table: NewTable(), outbox: outbox}
}

func (exchange *Exchange) send(to string, news *wire.RunnerUpdate) {
	exchange.outbox.Send(to, &wire.Envelope{Body: &wire.Envelope_RunnerUpdate{RunnerUpdate: news}})
}

// News joins what another process told, confirms it where that is wanted, and corrects a sender that is
// behind. It gives the lines that changed our book.
func (exchange *Exchange) News(now time.Time, from string, message *wire.RunnerUpdate) []*wire.Runner {
	taken, newer := exchange.Take(now, message.Runners)
	if message.Nonce != 0 {
		exchange.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_RunnerUpdateAck{RunnerUpdateAck: &wire.RunnerUpdateAck{Nonce: message.Nonce}}})
	}
	if len(newer) > 0 {
		exchange.send(from, &wire.RunnerUpdate{Runners: newer})
	}
	return taken
}

// Digest answers a digest with what its sender lacks, and with our own where the sender holds more.
func (exchange *Exchange) Digest(now time.Time, from string, message *wire.RunnerDigest) {
	news, lacking := exchange.compare(now, message)
	// An empty answer is one too; a process that has just begun waits for it.
	if len(news) > 0 || message.ResponseWanted {
		exchange.send(from, &wire.RunnerUpdate{Runners: news, Response: message.ResponseWanted})
	}
	if lacking && message.ResponseWanted {
		exchange.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_RunnerDigest{RunnerDigest: exchange.digest(false)}})
	}
}

// Compare takes in the sum of another process's book; where ours differs, digests are exchanged.
func (exchange *Exchange) Compare(now time.Time, from string, checksum uint64) {
	if checksum == exchange.Checksum() || now.Sub(exchange.digested) < digestEvery {
		return
	}
	exchange.Ask(now, from)
}

// Ask asks a process for all that we lack.
func (exchange *Exchange) Ask(now time.Time, to string) {
	exchange.digested, exchange.asked = now, to
	exchange.outbox.Send(to, &wire.Envelope{Body: &wire.Envelope_RunnerDigest{RunnerDigest: exchange.digest(true)}})
}

// Insist asks a process on whose answer something waits, unless it was asked a moment ago.
func (exchange *Exchange) Insist(now time.Time, to string) {
	if exchange.asked != to || now.Sub(exchange.digested) >= digestEvery {
		exchange.Ask(now, to)
	}
}
