// Package config holds the configuration document that operators write: zones, backends, routes and tenants.
//
// A document is parsed strictly (Parse), checked completely (Spec.Check) and stored in one canonical form
// (Spec.Encode), so that equal documents have equal bytes. A Change modifies a document. A Catalog is the index of a
// checked document by which the data plane looks up routes, backends and tenants.
//
// The comments of the fields are the operators' reference: default, unit and effect of each key.
package config

//go:generate go tool easyjson -disallow_unknown_fields -output_filename spec_easyjson.go spec.go

// Spec is the configuration document.
//
//easyjson:json
type Spec struct {
	// Zones lists the zones of the fleet, 0 to 64. Required; without any zone, every zone is open.
	Zones []Zone `json:"zones"`
	// Backends lists the groups of runners, at most 10000. Required, and not empty where zones are listed.
	Backends []Backend `json:"pools"`
	// Routes lists the kinds of requests, at most 50000. Required, and not empty where zones are listed.
	Routes Routes `json:"lanes"`
	// Tenants lists the parties whose keys grant access to the routes that are not public, at most 10000. Default: none,
	// and every route is open to all.
	Tenants []Tenant `json:"tenants,omitempty"`
	// KeySalt is the secret under which the tenants' keys were hashed; see Seal. Only wardtray sets it: an operator's
	// document that holds one is rejected.
	KeySalt []byte `json:"key_salt,omitempty"`
	// Limits bound what every client may send. They are stored for operators only: the daemons apply built-in limits.
	Limits Limits `json:"limits,omitempty"`
	// Annotations are stored for the operators' tools, at most 256 KiB, and have no effect.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Zone is a failure domain that can be closed to new work.
//
//easyjson:json
type Zone struct {
	// Name identifies the zone: 1 to 256 of the characters a-z, A-Z, 0-9, '-', '_' and '.'.
	Name string `json:"name"`
	// Closed stops new requests to the zone's runners; running requests continue. Default: false.
	Closed bool `json:"closed"`
}

// Backend is a group of runners that serve one model with one set of weights, or any model if neither is named.
//
//easyjson:json
type Backend struct {
	// Name identifies the backend: 1 to 256 of the characters a-z, A-Z, 0-9, '-', '_' and '.'.
	Name string `json:"name"`
	// Model is the model that requests must name, 1 to 256 bytes. Default: any model. Model and Weights are set together.
	Model string `json:"model,omitempty"`
	// Weights identifies the model's weights, 1 to 256 bytes. Default: any weights.
	Weights string `json:"weights,omitempty"`
	// Adapters lists the adapters that requests may name, at most 1024. Default: none.
	Adapters []string `json:"adapters,omitempty"`
	// Services lists the services whose runners may be given this backend's requests, 1 to 64. Required.
	Services []string `json:"services"`
	// ConnectionLimit is the number of connections that one runner accepts from all daemons together, at most 1000000.
	// Default: 0, not known.
	ConnectionLimit int `json:"connection_limit,omitempty"`
	// HealthPath is the path of the runners' health check; it begins with '/' and has at most 1024 bytes. Default:
	// empty. It is stored and returned, and has no effect yet.
	HealthPath string `json:"health_path,omitempty"`
	// Engine describes the runners' inference engine.
	Engine Engine `json:"engine,omitempty"`
	// Annotations are stored for the operators' tools, at most 256 KiB, and have no effect.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Engine describes the inference engine of a backend's runners. A value of 0 means that it is not known.
//
//easyjson:json
type Engine struct {
	// Slots is the number of requests that a runner processes at once, at most 1000000. Default: 0, not known. It is
	// stored and returned, and has no effect yet.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is the memory of a runner that running requests and cached prefixes share, in tokens, at most 2^40.
	// Default: 0, not known.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// EventTokens is the number of response tokens in one event, at most 1000000. Default: 0, not known.
	EventTokens int `json:"event_tokens,omitempty"`
}

// Route is a kind of requests: their backends, their urgency, and whether they may be retried.
//
//easyjson:json
type Route struct {
	// Name identifies the route: 1 to 256 of the characters a-z, A-Z, 0-9, '-', '_' and '.'.
	Name string `json:"name"`
	// Backend names the backend of the route's requests. Required unless Split is set; only one of the two may be.
	Backend string `json:"pool,omitempty"`
	// Value is the weight of the route's requests relative to those of other routes, 1 to 1000. Default: 1.
	Value float64 `json:"worth"`
	// LatencyTarget is the maximum time to the first event of a response, 10ms to 1h. Required.
	LatencyTarget Duration `json:"patience"`
	// ConcurrencyLimit is the share of the backend that the route may occupy while requests of other routes wait; above
	// 0, at most 1. Default: 1.
	ConcurrencyLimit float64 `json:"purse"`
	// Idempotent states that a request may run twice without harm, so that it may be retried even if it may have run.
	// Default: false, a request runs at most once.
	Idempotent bool `json:"repeatable"`
	// Authority is the host of requests that name no route, compared in lower case and without a port, at most 256
	// bytes. Default: empty, such requests do not reach the route. Authority and PathPrefix are set together.
	Authority string `json:"authority,omitempty"`
	// PathPrefix is the beginning of the path of requests that name no route; the longest one of the host applies. It
	// begins and ends with '/' and has at most 1024 bytes.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Split distributes the route's requests over 1 to 64 backends by weight, in place of a single backend.
	Split []Share `json:"split,omitempty"`
	// Deadline is the maximum time for which a request is handled, at most 24h. Default: 0s, only the client's own
	// deadline applies.
	Deadline Duration `json:"deadline,omitempty"`
	// Attempts is the maximum number of runners that a request is sent to, at most 1000. Default: 0, the built-in bound
	// applies.
	Attempts int `json:"attempts,omitempty"`
	// Rank orders routes under overload, 0 to 1000; lower ranks go first. Default: 0.
	Rank int `json:"rank,omitempty"`
	// Resumable allows a broken stream to be resumed at another runner after its last complete event. Default: false.
	Resumable bool `json:"resumable,omitempty"`
	// Pause is the longest acceptable time between two events of a stream, at most 24h. A resumable stream that pauses
	// for twice as long may be resumed at another runner. Default: 0s, not bounded.
	Pause Duration `json:"pause,omitempty"`
	// CancelOnDisconnect cancels a run when its client disconnects, even that of an at-most-once request. Default:
	// false, such a run is completed, so that its outcome is known. Runs of idempotent routes are always cancelled.
	CancelOnDisconnect bool `json:"cancel_on_disconnect,omitempty"`
	// Public allows requests without a tenant's key. Default: false.
	Public bool `json:"public,omitempty"`
	// Annotations are stored for the operators' tools, at most 256 KiB, and have no effect.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Tenant is a party whose requests carry its keys and count against its quota.
//
//easyjson:json
type Tenant struct {
	// Name identifies the tenant: 1 to 256 of the characters a-z, A-Z, 0-9, '-', '_' and '.'.
	Name string `json:"name"`
	// Keys are the secrets that the tenant's requests carry, at most 10000, each of 1 to 1024 visible bytes. Only the
	// control plane stores them, since operators read back what they wrote; daemons receive their hashes.
	Keys []string `json:"keys,omitempty"`
	// KeyHashes replace Keys in the daemons' copy; see Seal. Only wardtray sets them: an operator's document that holds
	// them is rejected.
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Rank orders tenants under overload, 0 to 1000; lower ranks go first, and within a tenant its routes' ranks decide.
	// Default: 0.
	Rank int `json:"rank,omitempty"`
	// Quota bounds the tenant's use of the fleet. Default: no bound.
	Quota Quota `json:"quota,omitempty"`
	// Annotations are stored for the operators' tools, at most 256 KiB, and have no effect.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Quota is a token bucket that bounds a tenant's use of all daemons together.
//
//easyjson:json
type Quota struct {
	// Rate is the number of units that may be used per second, at most 1e15. Default: 0, no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of units beyond Rate that may be used at once, at most 1e15. Default: 0.
	Burst float64 `json:"burst,omitempty"`
	// Tokens sets the unit to a token: a request uses those of its prompt and of the longest response that it allows.
	// Default: false, the unit is a request.
	Tokens bool `json:"tokens,omitempty"`
	// UncountedTokens is the cost of a request that does not declare its tokens, in tokens, at most 2^40. Default: 0.
	UncountedTokens int `json:"uncounted_tokens,omitempty"`
}

// Share is one backend's part of a route's requests.
//
//easyjson:json
type Share struct {
	// Backend names the backend.
	Backend string `json:"pool"`
	// Weight is the backend's part relative to the sum of the weights, 0 to 1000000. With a weight of 0 it gets no
	// requests.
	Weight int `json:"weight"`
}

// Limits bound what a client may send and how long that may take; 0 means not set. They are checked, stored and
// returned, but have no effect yet: the daemons apply built-in limits.
//
//easyjson:json
type Limits struct {
	// HeaderBytes bounds the size of a request's head, at most 1 MiB.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes bounds the size of a request's body, at most 1 GiB.
	BodyBytes int `json:"body_bytes,omitempty"`
	// HeaderTime bounds the time in which a request's head must arrive, at most 24h.
	HeaderTime Duration `json:"header_time,omitempty"`
	// IdleTime bounds the time for which a connection may stay idle, at most 24h.
	IdleTime Duration `json:"idle_time,omitempty"`
}

// Change adds, replaces and removes entries of a document by name; see Change.Apply.
//
//easyjson:json
type Change struct {
	// Upsert lists the entries to add; an entry replaces one of the same name.
	Upsert Entries `json:"upsert,omitempty"`
	// Remove lists the names of the entries to remove.
	Remove Names `json:"remove,omitempty"`
	// Limits replace all limits of the document. Default: the limits stay.
	Limits *Limits `json:"limits,omitempty"`
	// Annotations replace the document's annotations of the same name; null removes one.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Entries lists the entries that a change adds to a document, or that replace the entries of the same names.
//
//easyjson:json
type Entries struct {
	Zones    []Zone    `json:"zones,omitempty"`
	Backends []Backend `json:"pools,omitempty"`
	Routes   Routes    `json:"lanes,omitempty"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Names lists the entries to remove by name. An entry that does not exist is not a problem.
//
//easyjson:json
type Names struct {
	Zones    []string `json:"zones,omitempty"`
	Backends []string `json:"pools,omitempty"`
	Routes   []string `json:"lanes,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Problem is one reason why a document is invalid.
//
//easyjson:json
type Problem struct {
	// Path is the place of the value in the document, such as lanes[0].worth.
	Path string `json:"path"`
	// Detail describes what is wrong with the value, or which values are valid.
	Detail string `json:"detail"`
}
