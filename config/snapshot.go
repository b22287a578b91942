package config

import (
	"time"

	"wardtray/wire"
)

// Snapshot is what the data plane knows while it handles requests: configuration and runners at one moment. It is
// replaced as a whole, never changed.
type Snapshot struct {
	// Sequence is the log position of the configuration, and SpecEpoch its version.
	Sequence  uint64
	SpecEpoch uint64
	// Catalog indexes the configuration.
	Catalog *Catalog
	// Runners lists the runners that are known.
	Runners []*wire.Runner
	// Registered is set where runners register themselves, so that an empty list means that none is left.
	Registered bool
	// Until is when the snapshot expires: no request may be dispatched by it afterwards.
	Until time.Time
	// Daemons is how many daemons share the work.
	Daemons int
	// Term is what callers are told for the requests that they send from now on (package reservation); 0: none.
	Term uint64
	// Terms are the newest terms that this process has known, in their order.
	Terms []KnownTerm
}

// KnownTerm is a term that a process has known.
type KnownTerm struct {
	Term uint64
	// Since is from when on whoever connects to this process can have sent nothing before the term began.
	Since time.Time
}

// TermBefore returns the newest term that began before whatever came over a connection, which was taken at a moment,
// was sent; 0: none.
func (snapshot *Snapshot) TermBefore(connected time.Time) uint64 {
	for index := len(snapshot.Terms) - 1; index >= 0; index-- {
		if known := snapshot.Terms[index]; !connected.Before(known.Since) {
			return known.Term
		}
	}
	return 0
}
