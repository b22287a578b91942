package node

import (
	"fmt"
	"time"

	"wardtray/apierror"
	"wardtray/control/daemonlease"
	"wardtray/control/directory"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/coordination/lease"
)

// Limits are the times that the platform grants, by the names of the product's settings; a zero one stands for the
// usual.
type Limits struct {
	// Contact is for how long machines must be cut off before they count as out of touch.
	Contact time.Duration
	// Acknowledge is within what time a valid change must be acknowledged where the core is whole.
	Acknowledge time.Duration
	// Apply is within what time after its acknowledgement a change must be in force.
	Apply time.Duration
	// CatchUp is after what time a machine that is back, or new, no longer counts as lost.
	CatchUp time.Duration
	// Grace is how long a machine that is told to stop may take.
	Grace time.Duration
}

// The usual limits.
const (
	usualContact     = 3 * time.Second
	usualAcknowledge = 4 * time.Second
	usualApply       = 2 * time.Second
	usualCatchUp     = 4 * time.Second
	usualGrace       = 8 * time.Second
)

// withUsual gives the limits with the usual ones in the place of those that are zero.
func (limits Limits) withUsual() Limits {
	for _, pair := range []struct {
		limit *time.Duration
		usual time.Duration
	}{
		{&limits.Contact, usualContact}, {&limits.Acknowledge, usualAcknowledge}, {&limits.Apply, usualApply},
		{&limits.CatchUp, usualCatchUp}, {&limits.Grace, usualGrace},
	} {
		if *pair.limit <= 0 {
			*pair.limit = pair.usual
		}
	}
	return limits
}

// Bounds are the times that the control side derives from the limits. The time of a lease is none of them: its holder
// and its acceptors must count alike, also while their settings differ for a while, so it is a constant (lease.Term).
type Bounds struct {
	// Suspicion is after what silence a machine counts as gone.
	Suspicion time.Duration
	// Unhealthy is for how long a write may wait before a machine says that its disk fails.
	Unhealthy time.Duration
	// Broken is for how long one side of a link of the chain must not hear the other before one of them is taken out.
	Broken time.Duration
	// Frozen is after what pause a process takes it that it stood still itself, rather than that all others fell silent.
	Frozen time.Duration
	// Stagger is how long each acceptor lets those before it propose a view first.
	Stagger time.Duration
	// DaemonLease is for how long a daemon may rely on a lease, counted from its question.
	DaemonLease time.Duration
	// QuotaTerm is for how long a daemon's share of a quota counts, counted from its question: longer than a takeover, so
	// that daemons go on with what they hold while another head takes over.
	QuotaTerm time.Duration
	// Starting is for how long after its start a machine can't tell daemons yet whether there is a head.
	Starting time.Duration
	// Leave is how long a machine that is told to stop waits for others to take over what it holds.
	Leave time.Duration
}

const (
	usualSuspicion = 700 * time.Millisecond
	leastSuspicion = 2*failuredetector.HeartbeatInterval + 100*time.Millisecond
	usualStagger   = 400 * time.Millisecond
	usualStarting  = 2 * time.Second
	leastStagger   = 200 * time.Millisecond
)

// BoundsFor derives the bounds from the limits.
func BoundsFor(limits Limits) Bounds {
	limits = limits.withUsual()
	repair := min(limits.Acknowledge, limits.CatchUp)
	suspicion := max(leastSuspicion, min(usualSuspicion, repair*7/40, limits.Contact*7/30))
	return Bounds{
		Suspicion:   suspicion,
		Unhealthy:   suspicion,
		Broken:      suspicion,
		Frozen:      suspicion - failuredetector.HeartbeatInterval,
		Stagger:     max(leastStagger, min(usualStagger, repair/10)),
		DaemonLease: lease.DaemonTermFor(limits.Apply),
		QuotaTerm:   limits.Acknowledge,
		Starting:    min(usualStarting, limits.Contact/2),
		// The rest of the grace is for closing what is open.
		Leave: limits.Grace * 9 / 10,
	}
}

// Detection is after what time at most the loss of a machine is known.
func (bounds Bounds) Detection() time.Duration {
	return bounds.Suspicion + failuredetector.HeartbeatInterval
}

// ViewChange is how long the agreement on a view takes at most where one proposer fails, disks and links being well.
func (bounds Bounds) ViewChange() time.Duration { return 2 * bounds.Stagger }

// Takeover is after what time at most another head may act once a head was lost.
func (bounds Bounds) Takeover() time.Duration {
	return bounds.Detection() + bounds.Stagger + lease.Term + leadership.RetryInterval
}

// SeatRepair is after what time at most a machine that has just started has the seat of a acceptor that was lost no
// later: it is heard and told the view, says so, and a view is agreed.
func (bounds Bounds) SeatRepair() time.Duration {
	return bounds.Detection() + 2*failuredetector.HeartbeatInterval + bounds.ViewChange()
}

// CopyRepair is after what time at most it has a place in the chain too: it learns the document and a view is agreed.
func (bounds Bounds) CopyRepair() time.Duration {
	return bounds.SeatRepair() + directory.LearnInterval + bounds.ViewChange()
}

// Check tells which limits are too short for what has to happen within them.
func (limits Limits) Check() error {
	limits = limits.withUsual()
	bounds := BoundsFor(limits)
	for _, need := range []struct {
		what          string
		needed, limit time.Duration
	}{
		{"acknowledge: a takeover and a daemon's lease", bounds.Takeover() + bounds.DaemonLease + daemonlease.ClockMargin, limits.Acknowledge},
		{"catch_up: the repair of a seat and of a copy", bounds.CopyRepair(), limits.CatchUp},
		{"contact: the detection of a loss", bounds.Detection(), limits.Contact},
		{"apply: twice a daemon's lease", 2 * bounds.DaemonLease, limits.Apply},
		{"grace: the handing over of all that a machine holds", bounds.CopyRepair(), bounds.Leave},
	} {
		if need.needed > need.limit {
			return apierror.New(apierror.BadSettings, "%s", fmt.Sprintf("%s may take %v, more than %v", need.what, need.needed, need.limit))
		}
	}
	return nil
}

// MaximumDaemons bounds the daemons that one head grants leases to.
const MaximumDaemons = daemonlease.MaximumDaemons
