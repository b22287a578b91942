package timing

import (
	"time"

	"wardtray/apierror"
	"wardtray/control/daemonlease"
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
