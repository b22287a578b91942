// Package process holds the settings of one process: its addresses, the processes that it contacts first, and its
// limits. They come from a JSON file or a platform's own file, are overridden by flags, and are checked completely
// before any port is opened or any file written.
//
// The comments of the fields are the operators' reference: default, unit and effect of each key.
package process

//go:generate go tool easyjson -disallow_unknown_fields -output_filename settings_easyjson.go settings.go

// Settings are the settings of a wtcore or a wtdata. Durations are strings in the form of time.ParseDuration, at most
// 1h unless stated otherwise; the methods named after them return them parsed, with their defaults.
//
//easyjson:json
type Settings struct {
	// Address is the ip:port at which other processes reach this process. Required.
	Address string `json:"address"`
	// HTTP is the ip:port at which clients or operators reach this process; it differs from Address. Required.
	HTTP string `json:"http"`
	// Zone is the zone of this machine: 1 to 64 bytes without blanks or slashes. Required.
	Zone string `json:"zone"`
	// Seeds lists the addresses of the processes contacted first, 1 to 16 and normally three. Required.
	Seeds []string `json:"seeds"`
	// Founders lists the addresses of the machines with a disk that must all be present for the first view, at most 5.
	// Default: Seeds, or none with Joins.
	Founders []string `json:"founders,omitempty"`
	// Folder is the data folder. Required for wtcore, rejected for wtdata.
	Folder string `json:"folder,omitempty"`
	// Platform is the http URL of the platform's list of runners. Required for wtdata unless Registered is set, rejected
	// for wtcore.
	Platform string `json:"platform,omitempty"`
	// Drain is the time for which a wtdata still accepts requests after SIGTERM, 0s to 10m. Default: 3s.
	Drain string `json:"drain,omitempty"`
	// Finish is the time that accepted requests have after Drain. Default: 2m.
	Finish string `json:"finish,omitempty"`
	// Readiness is the ip:port at which readiness is served. Default: HTTP.
	Readiness string `json:"fitness,omitempty"`
	// MemoryMegabytes bounds the memory of the process in MiB, at least 32. Default: 0, no bound.
	MemoryMegabytes int `json:"memory_megabytes,omitempty"`
	// Faults is the number of machines with a disk that may fail at once, 0 to 4. Default: 0, which means one.
	Faults int `json:"faults,omitempty"`
	// Joins restricts this machine to joining an existing fleet. It must not found one if its disk may have been wiped.
	// Default: false.
	Joins bool `json:"joins,omitempty"`
	// Heartbeat is the interval of the runners' heartbeats. Default: 1s.
	Heartbeat string `json:"beat,omitempty"`
	// Apply is the time within which an acknowledged change must take effect. Default: 2s.
	Apply string `json:"apply,omitempty"`
	// Contact is the time after which machines that can't reach each other count as partitioned. Default: 3s.
	Contact string `json:"contact,omitempty"`
	// Acknowledge is the time within which a valid change must be acknowledged while no machine has failed. Default: 4s.
	Acknowledge string `json:"acknowledge,omitempty"`
	// CatchUp is the time after which a wtcore that returned, or is new, no longer counts as failed. Default: 4s.
	CatchUp string `json:"catch_up,omitempty"`
	// Grace is the time within which a wtcore ends after SIGTERM. Default: 8s.
	Grace string `json:"grace,omitempty"`
	// WithoutCore is the time for which a wtdata continues to serve with its last configuration while it reaches no
	// wtcore; with 0s it stops when its lease expires. Default: 5m.
	WithoutCore string `json:"without_core,omitempty"`
	// Retries bounds the retries of requests at another runner, over all daemons.
	Retries Retries `json:"repeats,omitempty"`
	// Quotas bounds the amount by which all daemons together may exceed tenants' quotas.
	Quotas Quotas `json:"quotas,omitempty"`
	// Without names the features that are disabled for a measurement, separated by commas; see package features.
	// Default: none.
	Without string `json:"without,omitempty"`
	// Registered states that runners register themselves, so that Platform is not required. Default: false.
	Registered bool `json:"registered,omitempty"`
	// Diskless is set by a platform's adapter for a machine without a disk. A wtcore there does not take part in the
	// control plane.
	Diskless bool `json:"-"`
	// Adapter is the name of the platform whose file the settings come from; empty for a settings file of this package.
	Adapter string `json:"-"`
	// Log is the minimum level of log lines: debug, info, warn or error. Default: info.
	Log string `json:"log,omitempty"`
}

// Retries is a retry budget: in every window, the fraction Share of a backend's requests and Slack further requests may
// be retried.
//
//easyjson:json
type Retries struct {
	// Window is the length of a window. Default: 10s.
	Window string `json:"window,omitempty"`
	// Share is the fraction of a backend's requests that may be retried, 0 to 1. Default: 0.
	Share float64 `json:"share,omitempty"`
	// Slack is the number of requests that may be retried beyond Share. Default: 0.
	Slack int `json:"slack,omitempty"`
}

// Quotas is the tolerance of tenants' quotas: in every window, all daemons together may exceed a quota by the fraction
// Excess of it, and by Slack further units.
//
//easyjson:json
type Quotas struct {
	// Window is the length of a window. Default: 10s.
	Window string `json:"window,omitempty"`
	// Excess is the fraction of the quota by which it may be exceeded, 0 to 1. Default: 0.
	Excess float64 `json:"excess,omitempty"`
	// Slack is the amount by which the quota may be exceeded beyond Excess, in the unit of the quota. Default: 0.
	Slack float64 `json:"slack,omitempty"`
}
