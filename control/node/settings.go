package node

import (
	"time"

	"wardtray/control/timing"
	"wardtray/coordination/quota"
)

// Settings are what a machine goes by from its start to its end.
type Settings struct {
	// Address is where other processes reach it, and HTTP where operators and runners do.
	Address string
	HTTP    string
	// Zone is where it stands; members are spread over zones.
	Zone string
	// Seeds are addresses of other processes that it tries first.
	Seeds []string
	// Founders are the addresses of the first disk machines; all must be there for the first view.
	Founders []string
	// RunnerHeartbeat is how often runners call; 0 stands for the registry's own.
	RunnerHeartbeat time.Duration
	// Founding is set at the very first start of the whole fleet. A machine whose disk was lost later
	// starts without it and never founds anything.
	Founding bool
	// Faults is how many machines may lose their disks at the same time; at least 1.
	Faults int
	// Quotas is by how much the daemons together may exceed tenants' quotas.
	Quotas quota.Tolerance
	// DaemonLease is for how long a data daemon may rely on a lease; 0 stands for what the limits allow.
	DaemonLease time.Duration
	// Limits are the times that the platform grants; zero ones stand for their defaults.
	Limits timing.Limits
}

// withDefaults returns the settings with what stands for zero values.
func (settings Settings) withDefaults() Settings {
	settings.Faults = max(1, settings.Faults)
	if settings.DaemonLease == 0 {
		settings.DaemonLease = timing.BoundsFor(settings.Limits).DaemonLease
	}
	return settings
}
