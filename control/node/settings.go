package node

import (
	"time"

	"wardtray/control/timing"
	"wardtray/coordination/quota"
)

// Settings configures a control machine; they do not change while it runs.
type Settings struct {
	// Address is the address for other processes of the fleet, and HTTP the one for operators and runners.
	Address string
	HTTP    string
	// Zone is the zone of the machine; members are spread over zones.
	Zone string
	// Seeds holds addresses of other control machines to contact at the start.
	Seeds []string
	// Founders holds the addresses of the first control machines; all must be up for the first view.
	Founders []string
	// RunnerHeartbeat is the interval of the runners' heartbeats; 0 means the registry's default.
	RunnerHeartbeat time.Duration
	// Founding permits the machine to take part in the first view. It is set only at the first start of the fleet: a
	// machine whose disk was lost later starts without it, so that it never founds a second fleet.
	Founding bool
	// Faults is the number of machines that may lose their disks at the same time; at least 1.
	Faults int
	// Quotas is the tolerance by which the daemons together may exceed a tenant's quota.
	Quotas quota.Tolerance
	// DaemonLease is the duration of a data daemon's lease; 0 means the value derived from the limits.
	DaemonLease time.Duration
	// Limits holds the time limits that the platform sets; zero values mean the defaults.
	Limits timing.Limits
}

// withDefaults returns the settings with the defaults in the place of zero values.
func (settings Settings) withDefaults() Settings {
	settings.Faults = max(1, settings.Faults)
	if settings.DaemonLease == 0 {
		settings.DaemonLease = timing.BoundsFor(settings.Limits).DaemonLease
	}
	return settings
}
