package node

import (
	"time"

	"wardtray/apierror"
	"wardtray/control/daemonlease"
	"wardtray/control/directory"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/coordination/lease"
)

// Limits are the times that the platform grants, by the names of the product's settings; zero stands for the default.
type Limits struct {
	// Contact is for how long machines must be cut off before they count as disconnected; 3 s by default.
	Contact time.Duration
	// Acknowledge is within what time a valid change must be acknowledged where the control plane is complete; 4 s by
	// default.
	Acknowledge time.Duration
	// Apply is within what time after its acknowledgement a change must be in force; 2 s by default.
	Apply time.Duration
	// CatchUp is after what time a machine that is back, or new, no longer counts as failed; 4 s by default.
	CatchUp time.Duration
	// Grace is how long a machine that is ordered to stop may take; 8 s by default.
	Grace time.Duration
}

// The default limits.
const (
	defaultContact     = 3 * time.Second
	defaultAcknowledge = 4 * time.Second
	defaultApply       = 2 * time.Second
	defaultCatchUp     = 4 * time.Second
	defaultGrace       = 8 * time.Second
)

// withDefaults returns the limits with the default ones in the place of those that are zero.
func (limits Limits) withDefaults() Limits {
	for _, pair := range []struct {
		limit    *time.Duration
		fallback time.Duration
	}{
		{&limits.Contact, defaultContact}, {&limits.Acknowledge, defaultAcknowledge}, {&limits.Apply, defaultApply},
		{&limits.CatchUp, defaultCatchUp}, {&limits.Grace, defaultGrace},
	} {
		if *pair.limit <= 0 {
			*pair.limit = pair.fallback
		}
	}
	return limits
}

// Bounds are the times that the control plane derives from the limits. The leader's lease is none of them: its
// holder and the acceptors must count alike, also while their settings differ for a while, so it is a constant
// (lease.LessorTTL).
type Bounds struct {
	// Suspicion is after what silence a machine counts as failed.
	Suspicion time.Duration
	// WriteTimeout is for how long a write may wait before a machine reports that its disk fails.
	WriteTimeout time.Duration
	// LinkTimeout is for how long one side of a link of the chain must not hear the other before one of them is
	// excluded.
	LinkTimeout time.Duration
	// Pause is after what pause a process assumes that it stood still itself, rather than that all others fell silent.
	Pause time.Duration
	// Stagger is how long each acceptor lets those before it propose a view first.
	Stagger time.Duration
	// DaemonLease is for how long a daemon may rely on a lease, counted from its request.
	DaemonLease time.Duration
	// QuotaTerm is for how long a daemon's share of a quota counts, from its request: longer than a takeover, so that
	// daemons go on with their shares while another head takes over.
	QuotaTerm time.Duration
	// Starting is for how long after its start a machine can't say yet whether there is a head.
	Starting time.Duration
	// DecommissionTimeout is how long a machine that is ordered to stop waits for others to take over its positions.
	DecommissionTimeout time.Duration
}

const (
	maximumSuspicion = 700 * time.Millisecond
	minimumSuspicion = 2*failuredetector.HeartbeatInterval + 100*time.Millisecond
	maximumStagger   = 400 * time.Millisecond
	maximumStarting  = 2 * time.Second
	minimumStagger   = 200 * time.Millisecond
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

// Check returns an error of code apierror.InvalidSettings for limits that are too short for what has to happen
// within them.
func (limits Limits) Check() error {
	limits = limits.withDefaults()
	bounds := BoundsFor(limits)
	acknowledgement := bounds.Takeover() + bounds.DaemonLease + daemonlease.ClockMargin
	for _, need := range []struct {
		what          string
		needed, limit time.Duration
	}{
		{"acknowledge: a takeover and a daemon's lease", acknowledgement, limits.Acknowledge},
		{"catch_up: the repair of a seat and of a copy", bounds.ReplicaRepair(), limits.CatchUp},
		{"contact: the detection of a loss", bounds.Detection(), limits.Contact},
		{"apply: twice a daemon's lease", 2 * bounds.DaemonLease, limits.Apply},
		{"grace: the handing over of all that a machine holds", bounds.ReplicaRepair(), bounds.DecommissionTimeout},
	} {
		if need.needed > need.limit {
			return apierror.New(apierror.InvalidSettings, "%s may take %v, more than %v", need.what, need.needed, need.limit)
		}
	}
	return nil
}
