package lease

import "time"

const (
	// DaemonTerm is for how long a data daemon usually relies on a lease, counted from its request.
	DaemonTerm = time.Second
	// RenewEvery is how often a data daemon that holds a lease asks the head to renew it.
	RenewEvery = 300 * time.Millisecond
)

// DaemonTermFor gives for how long a daemon may rely on a lease where a change must be in force within a time after its
// acknowledgement: well less than that, and not longer than the usual.
func DaemonTermFor(apply time.Duration) time.Duration { return min(DaemonTerm, apply/2) }
