package config

import (
	"time"

	"wardtray/wire"
)

// Snapshot is the configuration and the list of runners by which the data plane handles requests at one moment. It is
// immutable; an update replaces it.
type Snapshot struct {
	// Sequence is the log position of the configuration, and SpecEpoch its version.
	Sequence  uint64
	SpecEpoch uint64
	// Catalog indexes the configuration.
	Catalog *Catalog
	// Runners lists the known runners.
	Runners []*wire.Runner
	// Registered reports whether runners register themselves, so that an empty list means that no runner is left.
	Registered bool
	// ExpiresAt is the time at which the snapshot expires: no request may be dispatched by it afterwards.
	ExpiresAt time.Time
	// DaemonCount is the number of data daemons that share the load.
	DaemonCount int
	// Term is the term announced to clients for the requests that they send from now on (package reservation); 0 if
	// there is none.
	Term uint64
	// Terms lists the newest terms that this process has learned of, the oldest first.
	Terms []KnownTerm
}

// KnownTerm is a term that a process has learned of.
type KnownTerm struct {
	Term uint64
	// Since is the time from which on every new connection to this process carries only requests that were sent after
	// the term began.
	Since time.Time
}

// TermBefore returns the newest known term that began before the first request over a connection was sent, or 0 if
// there is none. connected is the time at which the connection was accepted.
func (snapshot *Snapshot) TermBefore(connected time.Time) uint64 {
	for index := len(snapshot.Terms) - 1; index >= 0; index-- {
		if known := snapshot.Terms[index]; !connected.Before(known.Since) {
			return known.Term
		}
	}
	return 0
}
