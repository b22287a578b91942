// Package config holds the configuration document that operators write: zones, backends, routes and tenants.
//
// A document is parsed strictly (Parse), checked as a whole (Spec.Check) and kept in one canonical form (Spec.Encode),
// so that equal documents have equal bytes. A Change turns one document into the next. A Catalog is the index of a
// checked document by which the data plane looks up routes, backends and tenants.
//
// The fields' comments are the operators' reference: default, unit and effect of each key.
package config

//go:generate go tool easyjson -disallow_unknown_fields -output_filename spec_easyjson.go spec.go

// Spec is the whole configuration document.
//
//easyjson:json
type Spec struct {
	// Zones lists the zones of the fleet, 0 to 64. Required; without any zone, every zone is open.
	Zones []Zone `json:"zones"`
	// Backends lists the groups of runners, at most 10000. Required, and not empty where zones are listed.
	Backends []Backend `json:"pools"`
	// Routes lists the kinds of requests, at most 50000. Required, and not empty where zones are listed.
	Routes Routes `json:"lanes"`
	// Tenants lists the parties whose keys open the routes that are not public, at most 10000. By default there are
	// none, and every route is open to all.
	Tenants []Tenant `json:"tenants,omitempty"`
	// KeySalt is the secret under which the tenants' keys were hashed; see Seal. It is written by wardtray alone: an
	// operator's document that holds one is rejected.
	KeySalt []byte `json:"key_salt,omitempty"`
	// Limits state what every client may send. They are kept for operators: the daemons apply built-in limits.
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
	// Closed keeps new requests from the zone's runners; running ones go on. Default: false.
	Closed bool `json:"closed"`
}

// Backend is a backend: the runners that serve one model with one set of weights, or any model where neither is named.
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
	// ConnectionLimit is how many connections one runner accepts from all daemons together, at most 1000000.
	// Default: 0, not known.
	ConnectionLimit int `json:"connection_limit,omitempty"`
	// HealthPath is the path at which runners report whether they are healthy; it begins with '/' and has at most 1024
	// bytes. Default: empty. It is stored and returned, and has no effect yet.
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
	// Slots is how many requests a runner processes at once, at most 1000000. Default: 0, not known. It is stored and
	// returned, and has no effect yet.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is how many tokens the running requests and the cached prefixes share, at most 2^40. Default: 0, not
	// known.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// EventTokens is how many tokens of the response one event holds, at most 1000000. Default: 0, not known.
	EventTokens int `json:"event_tokens,omitempty"`
}

// Route is a kind of requests: where they go, how urgent they are, and what a retry may do.
//
//easyjson:json
type Route struct {
	// Name identifies the route: 1 to 256 of the characters a-z, A-Z, 0-9, '-', '_' and '.'.
	Name string `json:"name"`
	// Backend names the backend of the route's requests. Required unless Split is set; only one of the two may be.
	Backend string `json:"pool,omitempty"`
	// Value weighs the route's requests against those of other routes, 1 to 1000. Default: 1.
	Value float64 `json:"worth"`
	// LatencyTarget is how long the first event of a response may take, 10ms to 1h. Required.
	LatencyTarget Duration `json:"patience"`
	// ConcurrencyLimit is the share of the backend that the route may occupy while requests of other routes wait; above
	// 0, at most 1. Default: 1.
	ConcurrencyLimit float64 `json:"purse"`
	// Idempotent says that running a request twice does no harm, so that it may be retried after it may have run.
	// Default: false, a request runs at most once.
	Idempotent bool `json:"repeatable"`
	// Authority is the host of requests that name no route, compared in lower case and without a port, at most 256
	// bytes. Default: empty, such requests do not reach the route. Authority and PathPrefix are set together.
	Authority string `json:"authority,omitempty"`
	// PathPrefix is the beginning of the path of requests that name no route; the longest one of the host applies. It
	// begins and ends with '/' and has at most 1024 bytes.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Split divides the route's requests over 1 to 64 backends by weight, in place of a single one.
	Split []Share `json:"split,omitempty"`
	// Deadline is the longest time that a request is kept, at most 24h. Default: 0s, only the client's own deadline
	// applies.
	Deadline Duration `json:"deadline,omitempty"`
	// Attempts is how many runners one request may be sent to, at most 1000. Default: 0, the built-in bound applies.
	Attempts int `json:"attempts,omitempty"`
	// Rank orders routes under overload, 0 to 1000; lower ranks go first. Default: 0.
	Rank int `json:"rank,omitempty"`
	// Resumable says that a broken stream may go on at another runner after its last complete event. Default: false.
	Resumable bool `json:"resumable,omitempty"`
	// Pause is the longest time between two events of a stream that is still on time, at most 24h. A resumable stream
	// that pauses for twice as long may go on at another runner. Default: 0s, not bounded.
	Pause Duration `json:"pause,omitempty"`
	// CancelOnDisconnect cancels a run when its client disconnects, even where it runs at most once. Default: false,
	// such a run is completed, so that its outcome is known. Runs of idempotent routes are always cancelled.
	CancelOnDisconnect bool `json:"cancel_on_disconnect,omitempty"`
	// Public lets requests of the route do without a tenant's key. Default: false.
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
	// Keys are the secrets that the tenant's requests carry, at most 10000, each of 1 to 1024 visible bytes. The control
	// plane alone keeps them, since operators read back what they wrote; daemons get their hashes.
	Keys []string `json:"keys,omitempty"`
	// KeyHashes replace Keys in the daemons' copy; see Seal. They are written by wardtray alone: an operator's document
	// that holds them is rejected.
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Rank orders tenants under overload, 0 to 1000; lower ranks go first, and within a tenant its routes' ranks decide.
	// Default: 0.
	Rank int `json:"rank,omitempty"`
	// Quota bounds the tenant's use of the fleet. Default: no bound.
	Quota Quota `json:"quota,omitempty"`
	// Annotations are stored for the operators' tools, at most 256 KiB, and have no effect.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Quota is a token bucket that bounds what a tenant may use over all daemons together.
//
//easyjson:json
type Quota struct {
	// Rate is how many units may be used per second, at most 1e15. Default: 0, no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is how many units beyond Rate may be used at once, at most 1e15. Default: 0.
	Burst float64 `json:"burst,omitempty"`
	// Tokens makes the unit a token, of the prompt and of the longest response that the request allows. Default: false,
	// the unit is a request.
	Tokens bool `json:"tokens,omitempty"`
	// UncountedTokens is what a request counts that does not declare its tokens, at most 2^40. Default: 0.
	UncountedTokens int `json:"uncounted_tokens,omitempty"`
}

// Share is one backend's part of a route's requests.
//
//easyjson:json
type Share struct {
	// Backend names the backend.
	Backend string `json:"pool"`
	// Weight is the backend's part in relation to the sum of the weights, 0 to 1000000; a weight of 0 gets no requests.
	Weight int `json:"weight"`
}

// Limits state what a client may send and how long that may take; 0 means not set. They are checked, stored and
// returned, but have no effect yet: the daemons apply built-in limits.
//
//easyjson:json
type Limits struct {
	// HeaderBytes bounds a request's head, at most 1 MiB.
	HeaderBytes int `json:"header_bytes,omitempty"`
	// BodyBytes bounds a request's body, at most 1 GiB.
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
	// Upsert lists the entries that are added, or replace those of the same name.
	Upsert Entries `json:"upsert,omitempty"`
	// Remove names the entries that are removed.
	Remove Names `json:"remove,omitempty"`
	// Limits replace the document's limits as a whole. Default: they stay.
	Limits *Limits `json:"limits,omitempty"`
	// Annotations replace those of the same name; null removes one.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Entries are added to a document, or replace the entries of the same names.
//
//easyjson:json
type Entries struct {
	Zones    []Zone    `json:"zones,omitempty"`
	Backends []Backend `json:"pools,omitempty"`
	Routes   Routes    `json:"lanes,omitempty"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Names are the entries to remove. One that does not exist is no problem: it is absent, as was requested.
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
	// Path leads to the value, as in lanes[0].worth.
	Path string `json:"path"`
	// Detail says what is wrong with the value, or what it must be.
	Detail string `json:"detail"`
}
