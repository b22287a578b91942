// Package lease holds the leases of the control plane: the short exclusive lease of the head of the
// chain (Lessee and Lessor), and the confirmations by which acceptors stand in for the head towards
// data daemons (Witness and ProgressTracker).
//
// # The head's lease
//
// A majority of the view's acceptors grants the head's lease, which is bound to that view. The
// Lessee, at the head, counts its lease from the moment of its request on its own clock, and a
// Lessor, at each acceptor, grants only after it received the request. So a head always considers
// its lease expired before any acceptor does, and the clocks need not agree; they only have to run
// at rates whose drift over lease.Term is below the margin between lease.Term and lease.Held.
//
// An acceptor that has voted for the next view grants no more in the old one, and it grants to the
// head of a new term only once the leases of the heads before it have expired. These two rules
// together keep two heads from acting at the same time, whatever messages are lost, repeated or
// delayed and whichever machines crash or freeze.
//
// # Who calls what
//
// The head calls Lessee.Ask, sends the request, calls Lessee.Grant for each grant that comes back,
// and checks Lessee.Valid immediately before each act that needs the lease. An acceptor calls
// Lessor.Learn for each view that its disk holds, Lessor.Heard and Lessor.Refused for what it
// observes of other machines, and grants where Lessor.Allows. The state machines do no I/O, read no
// clock, and are not safe for concurrent use.
package lease

import "time"

const (
	// Term is for how long an acceptor honours its grant of the head's lease, from the moment of the grant.
	Term = 600 * time.Millisecond
	// Held is for how long the head relies on a grant, from the moment of its request. The rest of
	// lease.Term is the margin for drifting clocks.
	Held = 480 * time.Millisecond
)

const (
	// DaemonTerm is for how long a data daemon usually relies on its lease, from the moment of its request.
	DaemonTerm = time.Second
	// RenewEvery is how often a data daemon that holds a lease asks the head to renew it.
	RenewEvery = 300 * time.Millisecond
)

// DaemonTermFor returns for how long a daemon may rely on a lease where a change must be in force
// within the duration apply after its acknowledgement: half of that, and at most DaemonTerm.
func DaemonTermFor(apply time.Duration) time.Duration { return min(DaemonTerm, apply/2) }
