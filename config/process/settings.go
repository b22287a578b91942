// Package process holds the settings of one process: where it listens, whom it knows at first, and its limits. They
// come from a file in JSON or from a platform's own file, with flags in the place of what the file says, and are
// checked as a whole before any port is opened or any file written.
//
// The fields' comments are the operators' reference: default, unit and effect of each key.
package process

//go:generate go tool easyjson -disallow_unknown_fields -output_filename settings_easyjson.go settings.go

// Settings are the settings of a wtcore or a wtdata. Durations are texts in the form of time.ParseDuration, at most 1h
// unless said otherwise; the methods named after them return them parsed, with their defaults.
//
//easyjson:json
type Settings struct {
	// Address is the ip:port at which other processes reach this one. Required.
	Address string `json:"address"`
	// HTTP is the ip:port at which clients or operators reach this one; it differs from Address. Required.
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
	// Drain is how long a wtdata accepts requests after SIGTERM, 0s to 10m. Default: 3s.
	Drain string `json:"drain,omitempty"`
	// Finish is how long accepted requests may take after Drain. Default: 2m.
	Finish string `json:"finish,omitempty"`
	// Readiness is the ip:port at which readiness is served. Default: HTTP.
	Readiness string `json:"fitness,omitempty"`
	// MemoryMegabytes bounds the memory of the process in MiB, at least 32. Default: 0, no bound.
	MemoryMegabytes int `json:"memory_megabytes,omitempty"`
	// Faults is how many machines with a disk may fail at once, 0 to 4. Default: 0, which means one.
	Faults int `json:"faults,omitempty"`
	// Joins keeps this machine from founding a fleet, since its disk may have been wiped; it only joins one. Default:
	// false.
	Joins bool `json:"joins,omitempty"`
	// Heartbeat is how often runners send a heartbeat. Default: 1s.
	Heartbeat string `json:"beat,omitempty"`
	// Apply is the time within which an acknowledged change must be in force. Default: 2s.
	Apply string `json:"apply,omitempty"`
	// Contact is the time after which machines that can't reach each other count as partitioned. Default: 3s.
	Contact string `json:"contact,omitempty"`
	// Acknowledge is the time within which a valid change must be acknowledged while no machine has failed. Default: 4s.
	Acknowledge string `json:"acknowledge,omitempty"`
	// CatchUp is the time after which a wtcore that returned, or is new, no longer counts as failed. Default: 4s.
	CatchUp string `json:"catch_up,omitempty"`
	// Grace is how long a wtcore may take to end after SIGTERM. Default: 8s.
	Grace string `json:"grace,omitempty"`
	// WithoutCore is how long a wtdata goes on serving by its last configuration while it reaches no wtcore at all; with
	// 0s it stops when its lease expires. Default: 5m.
	WithoutCore string `json:"without_core,omitempty"`
	// Retries bounds the requests that are sent to a second runner, over all daemons.
	Retries Retries `json:"repeats,omitempty"`
	// Quotas bounds by how much the daemons together may exceed tenants' quotas.
	Quotas Quotas `json:"quotas,omitempty"`
	// Without names the features that are switched off for a measurement, separated by commas; see package features.
	// Default: none.
	Without string `json:"without,omitempty"`
	// Registered says that runners register themselves, so that there is no platform's list. Default: false.
	Registered bool `json:"registered,omitempty"`
	// Diskless is set by platforms for a machine without a disk: a wtcore on it takes no part.
	Diskless bool `json:"-"`
	// Adapter is the name of the platform that the settings were read from; empty for a file of our own.
	Adapter string `json:"-"`
	// Log is the least level of log lines: debug, info, warn or error. Default: info.
	Log string `json:"log,omitempty"`
}

// Retries is a budget of retries: in every window Share of a backend's requests, and Slack more.
//
//easyjson:json
type Retries struct {
	// Window is the length of a window. Default: 10s.
	Window string `json:"window,omitempty"`
	// Share is the part of a backend's requests, 0 to 1. Default: 0.
	Share float64 `json:"share,omitempty"`
	// Slack is how many requests are retried beyond Share. Default: 0.
	Slack int `json:"slack,omitempty"`
}

// Quotas is the tolerance of quotas: in every window the daemons together let through Excess of a tenant's quota beyond
// it, and Slack more.
//
//easyjson:json
type Quotas struct {
	// Window is the length of a window. Default: 10s.
	Window string `json:"window,omitempty"`
	// Excess is the part of the quota, 0 to 1. Default: 0.
	Excess float64 `json:"excess,omitempty"`
	// Slack is how much passes beyond Excess, in the unit of the quota. Default: 0.
	Slack float64 `json:"slack,omitempty"`
}
