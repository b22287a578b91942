// Package lease implements the leases of the control plane: the short exclusive lease of the head of the chain (Lessee
// and Lessor), and the confirmations by which acceptors replace the lease that the head grants to data daemons (Witness
// and ProgressTracker).
//
// # The head's lease
//
// A majority of the view's acceptors grants the head's lease, which is bound to that view. The Lessee, at the head,
// counts its lease from the moment of its request on its own clock, and a Lessor, at each acceptor, grants only after
// it received the request. So a head always considers its lease expired before any acceptor does, and the clocks need
// not agree; they only have to run at rates whose drift over LessorTTL is below the margin between LessorTTL and
// LesseeTTL.
//
// An acceptor that has voted for the next view grants nothing more in the present one, and it grants to the head of a
// new term only once the leases of the heads before it have expired. These two rules together keep two heads from
// acting at the same time, whatever messages are lost, repeated or delayed and whichever machines crash or freeze.
//
// # Usage
//
// The head calls Lessee.Request, sends the request, calls Lessee.AddGrant for each grant that comes back, and checks
// Lessee.Valid immediately before each action that needs the lease. An acceptor calls Lessor.AdoptView for each view
// that its disk holds, Lessor.ObserveEpoch and Lessor.ObserveConnectionRefused for what it observes of other machines,
// and grants if Lessor.CanGrant reports true. The state machines do no I/O, read no clock, and are not safe for
// concurrent use.
package lease

import "time"

const (
	// LessorTTL is the duration for which an acceptor honours its grant of the head's lease, from the moment of the grant.
	LessorTTL = 600 * time.Millisecond
	// LesseeTTL is the duration for which the head relies on a grant, from the moment of its request. The rest of
	// LessorTTL is the margin for clock drift.
	LesseeTTL = 480 * time.Millisecond
)

const (
	// DaemonTTL is the maximum duration for which a data daemon relies on its lease, from the moment of its request. See
	// DaemonTTLFor.
	DaemonTTL = time.Second
	// DaemonRenewInterval is the interval at which a data daemon that holds a lease requests its renewal from the head.
	DaemonRenewInterval = 300 * time.Millisecond
)

// DaemonTTLFor returns the duration for which a daemon may rely on a lease: half of apply, and at most DaemonTTL. apply
// is the time limit, from the acknowledgement of a change, within which the change must be in force.
func DaemonTTLFor(apply time.Duration) time.Duration { return min(DaemonTTL, apply/2) }
