package config

import (
	"time"

	"wardtray/wire"
)

// Snapshot is what the request path sees; it is replaced, never changed.
type Snapshot struct {
	Sequence  uint64
	SpecEpoch uint64
	Catalog   *Catalog
	Runners   []*wire.Runner
	// Registered tells that the runners registered themselves, so that an empty list says that none is left.
	Registered bool
	// Until is the moment up to which work may be awarded by this snapshot.
	Until time.Time
	// Daemons is how many daemons share the work.
	Daemons int
}
