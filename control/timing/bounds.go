// Package timing derives the control plane's timeouts and intervals (Bounds) from the time limits that the platform
// sets (Limits), and checks that every procedure that has to finish within a limit fits into it.
package timing

import (
	"time"

	"wardtray/control/directory"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/coordination/lease"
)

// Bounds holds the timeouts that the control plane derives from the limits; each field's comment gives its value under
// the default limits. The duration of the leader's lease is not among them: the holder and the acceptors must agree on
// it even while their settings differ, for example during a rolling change, so it is a constant (lease.LessorTTL).
type Bounds struct {
	// Suspicion is the time without a heartbeat after which a machine counts as failed; 700 ms.
	Suspicion time.Duration
	// WriteTimeout is the time that a write may take before the machine reports its disk as unhealthy; 700 ms.
	WriteTimeout time.Duration
	// LinkTimeout is the time for which one of two neighbours in the chain must not have heard the other before the
	// later one is excluded; 700 ms.
	LinkTimeout time.Duration
	// Pause is the time between two ticks beyond which a process assumes that it was paused itself, rather than that
	// all others fell silent; 500 ms.
	Pause time.Duration
	// Stagger is the delay between the proposals of two acceptors: each waits this long for every live acceptor before
	// it; 400 ms.
	Stagger time.Duration
	// DaemonLease is the duration of a data daemon's lease, counted from when it sent the request; 1 s.
	DaemonLease time.Duration
	// QuotaTerm is the validity of a data daemon's share of a quota, counted from its request. It is longer than a
	// takeover, so that daemons can use their shares until another head has taken over; 4 s.
	QuotaTerm time.Duration
	// Starting is the time after its start within which a machine cannot tell yet whether there is a head; 1.5 s.
	Starting time.Duration
	// DecommissionTimeout is the longest time that a machine that was ordered to stop waits for others to take over its
	// positions; 7.2 s.
	DecommissionTimeout time.Duration
}

// Smallest and largest values of the derived bounds, whatever the limits.
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
		// The rest of the grace period is for closing open connections and files.
		DecommissionTimeout: limits.Grace * 9 / 10,
	}
}

// Detection returns the longest time until the failure of a machine is known.
func (bounds Bounds) Detection() time.Duration {
	return bounds.Suspicion + failuredetector.HeartbeatInterval
}

// ViewChange returns the longest time that agreement on a view takes when one proposer fails and all disks and links
// work.
func (bounds Bounds) ViewChange() time.Duration { return 2 * bounds.Stagger }

// Takeover returns the longest time from the failure of a head until another head may act.
func (bounds Bounds) Takeover() time.Duration {
	return bounds.Detection() + bounds.Stagger + lease.LessorTTL + leadership.RetryInterval
}

// AcceptorRepair returns the longest time until a machine that has just started replaces an acceptor that failed at the
// same time or earlier: the other machines receive the new machine's heartbeat, the new machine learns the view and
// reports it, and a view with the new machine is agreed on.
func (bounds Bounds) AcceptorRepair() time.Duration {
	return bounds.Detection() + 2*failuredetector.HeartbeatInterval + bounds.ViewChange()
}

// ReplicaRepair returns the longest time until a machine that has just started is also in the chain: after
// AcceptorRepair the machine learns the document, and another view is agreed on.
func (bounds Bounds) ReplicaRepair() time.Duration {
	return bounds.AcceptorRepair() + directory.LearnInterval + bounds.ViewChange()
}
