// Package timing derives the times that the control plane keeps (Bounds) from those that the platform grants (Limits),
// and checks that what has to happen within a limit fits into it.
package timing

import (
	"time"

	"wardtray/control/directory"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/coordination/lease"
)

// Bounds are the times that the control plane derives from the limits; each field names its value under the default
// limits. The leader's lease is none of them: its holder and the acceptors must count alike, also while their settings
// differ for a while, so it is a constant (lease.LessorTTL).
type Bounds struct {
	// Suspicion is after what silence a machine counts as failed; 700 ms.
	Suspicion time.Duration
	// WriteTimeout is for how long a write may wait before a machine reports that its disk fails; 700 ms.
	WriteTimeout time.Duration
	// LinkTimeout is for how long one side of a link of the chain must not hear the other before one of them is
	// excluded; 700 ms.
	LinkTimeout time.Duration
	// Pause is after what pause a process assumes that it stood still itself, rather than that all others fell silent;
	// 500 ms.
	Pause time.Duration
	// Stagger is how long each acceptor lets those before it propose a view first; 400 ms.
	Stagger time.Duration
	// DaemonLease is for how long a daemon may rely on a lease, counted from its request; 1 s.
	DaemonLease time.Duration
	// QuotaTerm is for how long a daemon's share of a quota counts, from its request: longer than a takeover, so that
	// daemons go on with their shares while another head takes over; 4 s.
	QuotaTerm time.Duration
	// Starting is for how long after its start a machine can't say yet whether there is a head; 1.5 s.
	Starting time.Duration
	// DecommissionTimeout is how long a machine that is ordered to stop waits for others to take over its positions;
	// 7.2 s.
	DecommissionTimeout time.Duration
}

// Where the limits would give a shorter or longer bound, these count.
const (
	minimumSuspicion = 2*failuredetector.HeartbeatInterval + 100*time.Millisecond
	maximumSuspicion = 700 * time.Millisecond
	minimumStagger   = 200 * time.Millisecond
	maximumStagger   = 400 * time.Millisecond
	maximumStarting  = 2 * time.Second
)

// BoundsFor derives the bounds from the limits.
func BoundsFor(limits Limits) Bounds {
	limits = limits.withDefaults()
	repair := min(limits.Acknowledge, limits.CatchUp)
	suspicion := max(minimumSuspicion, min(maximumSuspicion, repair*7/40, limits.Contact*7/30))
	return Bounds{
		Suspicion:    suspicion,
		WriteTimeout: suspicion,
		LinkTimeout:  suspicion,
		Pause:        suspicion - failuredetector.HeartbeatInterval,
		Stagger:      max(minimumStagger, min(maximumStagger, repair/10)),
		DaemonLease:  lease.DaemonTTLFor(limits.Apply),
		QuotaTerm:    limits.Acknowledge,
		Starting:     min(maximumStarting, limits.Contact/2),
		// The rest of the grace is for closing what is open.
		DecommissionTimeout: limits.Grace * 9 / 10,
	}
}

// Detection returns after what time at most the failure of a machine is known.
func (bounds Bounds) Detection() time.Duration {
	return bounds.Suspicion + failuredetector.HeartbeatInterval
}

// ViewChange returns how long the agreement on a view takes at most where one proposer fails, disks and links being
// well.
func (bounds Bounds) ViewChange() time.Duration { return 2 * bounds.Stagger }

// Takeover returns after what time at most another head may act once a head has failed.
func (bounds Bounds) Takeover() time.Duration {
	return bounds.Detection() + bounds.Stagger + lease.LessorTTL + leadership.RetryInterval
}

// AcceptorRepair returns after what time at most a machine that has just started has the slot of an acceptor that
// failed no later: it is heard and learns the view, reports so, and a view is agreed on.
func (bounds Bounds) AcceptorRepair() time.Duration {
	return bounds.Detection() + 2*failuredetector.HeartbeatInterval + bounds.ViewChange()
}

// ReplicaRepair returns after what time at most it is in the chain too: it learns the document and a view is agreed on.
func (bounds Bounds) ReplicaRepair() time.Duration {
	return bounds.AcceptorRepair() + directory.LearnInterval + bounds.ViewChange()
}
