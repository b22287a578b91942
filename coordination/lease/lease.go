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
// at rates whose drift over lease.LessorTTL is below the margin between lease.LessorTTL and lease.LesseeTTL.
//
// An acceptor that has voted for the next view grants no more in the old one, and it grants to the
// head of a new term only once the leases of the heads before it have expired. These two rules
// together keep two heads from acting at the same time, whatever messages are lost, repeated or
// delayed and whichever machines crash or freeze.
//
// # Who calls what
//
// The head calls Lessee.Request, sends the request, calls Lessee.AddGrant for each grant that comes back,
// and checks Lessee.Valid immediately before each act that needs the lease. An acceptor calls
// Lessor.AdoptView for each view that its disk holds, Lessor.ObserveEpoch and Lessor.ObserveRefusal for what it
// observes of other machines, and grants where Lessor.CanGrant. The state machines do no I/O, read no
// clock, and are not safe for concurrent use.
package lease

import "time"

const (
	// LessorTTL is for how long an acceptor honours its grant of the head's lease, from the moment of the grant.
	LessorTTL = 600 * time.Millisecond
	// LesseeTTL is for how long the head relies on a grant, from the moment of its request. The rest of
	// lease.LessorTTL is the margin for drifting clocks.
	LesseeTTL = 480 * time.Millisecond
)

const (
	// DaemonTTL is for how long a data daemon usually relies on its lease, from the moment of its request.
	DaemonTTL = time.Second
	// DaemonRenewInterval is how often a data daemon that holds a lease asks the head to renew it.
	DaemonRenewInterval = 300 * time.Millisecond
)

// DaemonTTLFor returns for how long a daemon may rely on a lease where a change must be in force
// within the duration apply after its acknowledgement: half of that, and at most DaemonTTL.
func DaemonTTLFor(apply time.Duration) time.Duration { return min(DaemonTTL, apply/2) }
