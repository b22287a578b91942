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
}
