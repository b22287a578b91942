package timing

import (
	"time"

	"wardtray/apierror"
	"wardtray/control/daemonlease"
)

// Limits holds the time limits that the platform sets, named after the settings they come from; zero means the default.
type Limits struct {
	// Contact is the time for which machines must be cut off before they count as disconnected; 3 s by default.
	Contact time.Duration
	// Acknowledge is the time within which a valid change must be acknowledged while all machines of the control plane
	// are up; 4 s by default.
	Acknowledge time.Duration
	// Apply is the time after its acknowledgement within which a change must be in effect; 2 s by default.
	Apply time.Duration
	// CatchUp is the time after which a machine that has returned, or is new, no longer counts as failed; 4 s by default.
	CatchUp time.Duration
	// Grace is the time that a machine may take to stop once it was ordered to; 8 s by default.
	Grace time.Duration
}

// Limits that apply where a setting is absent.
const (
	defaultContact     = 3 * time.Second
	defaultAcknowledge = 4 * time.Second
	defaultApply       = 2 * time.Second
	defaultCatchUp     = 4 * time.Second
	defaultGrace       = 8 * time.Second
)

// withDefaults returns the limits with the default in the place of each that is not positive.
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

// Check returns an error with code apierror.InvalidSettings if a limit is shorter than the longest duration of the
// procedure that has to finish within it.
func (limits Limits) Check() error {
	limits = limits.withDefaults()
	bounds := BoundsFor(limits)
	acknowledgement := bounds.Takeover() + bounds.DaemonLease + daemonlease.ClockMargin
	for _, requirement := range []struct {
		procedure       string
		duration, limit time.Duration
	}{
		{"acknowledge: a takeover and a data daemon's lease", acknowledgement, limits.Acknowledge},
		{"catch_up: the replacement of an acceptor and of a chain replica", bounds.ReplicaRepair(), limits.CatchUp},
		{"contact: the detection of a failed machine", bounds.Detection(), limits.Contact},
		{"apply: twice the duration of a data daemon's lease", 2 * bounds.DaemonLease, limits.Apply},
		{"grace: the handover of the positions of a machine that stops", bounds.ReplicaRepair(), bounds.DecommissionTimeout},
	} {
		if requirement.duration > requirement.limit {
			return apierror.New(apierror.InvalidSettings, "%s may take %v, which exceeds the limit of %v",
				requirement.procedure, requirement.duration, requirement.limit)
		}
	}
	return nil
}
