// Package config holds the spec, the one document that operators write: routes, backends and zones. It is read by
// generated easyjson code, checked whole, and kept in one canonical form.
package config

import (
	"fmt"
	"time"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"wardtray/apierror"
	"wardtray/strictjson"
)

//go:generate go tool easyjson -disallow_unknown_fields -output_filename spec_easyjson.go spec.go

const (
	// MaximumBytes bounds a spec as sent.
	MaximumBytes = 16 << 20
	// MaximumRoutes bounds a spec's routes.
	MaximumRoutes = 50000
	// MaximumBackends bounds a spec's backends.
	MaximumBackends = 10000
	// MaximumZones bounds a spec's zones.
	MaximumZones = 64
	// MaximumTenants bounds a spec's tenants.
	MaximumTenants = 10000
)

// Duration is a length of time, written as in "1.5s".
type Duration time.Duration

// MarshalEasyJSON writes a span.
func (span Duration) MarshalEasyJSON(writer *jwriter.Writer) {
	writer.String(time.Duration(span).String())
}

// UnmarshalEasyJSON reads a span.
func (span *Duration) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	text := lexer.String()
	if !lexer.Ok() {
		return
	}
	length, err := time.ParseDuration(text)
	if err != nil {
		lexer.AddError(fmt.Errorf("%q is no length of time; write it as in 1.5s", text))
		return
	}
	*span = Duration(length)
}

// Spec is the whole document.
//
//easyjson:json
type Spec struct {
	Zones    []Zone `json:"zones"`
	Backends []Pool `json:"pools"`
	Routes   Routes `json:"lanes"`
	// Tenants are whose keys open the routes that are not public; without any, every route is open to all.
	Tenants []Tenant `json:"tenants,omitempty"`
	// KeySalt is the secret under which the tenants' keys were hashed; see Seal. Operators leave it out.
	KeySalt []byte `json:"key_salt,omitempty"`
	// Limits hold for every client.
	Limits Limits `json:"limits,omitempty"`
	// Annotations are what the operators' tools keep beside the spec.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Zone is a place that may be closed to new work.
//
//easyjson:json
type Zone struct {
	Name   string `json:"name"`
	Closed bool   `json:"closed"`
}

// Backend is the runners that serve one model with one set of weights; without them, any model.
//
//easyjson:json
type Pool struct {
	Name     string   `json:"name"`
	Model    string   `json:"model,omitempty"`
	Weights  string   `json:"weights,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Services are the services of which runners may take this backend's work.
	Services []string `json:"services"`
	// ConnectionLimit is how many connections one runner takes from all daemons together; 0: not told.
	ConnectionLimit int `json:"connection_limit,omitempty"`
	// HealthPath is where a runner answers whether it thinks that it is well; empty: nowhere.
	HealthPath string `json:"health_path,omitempty"`
	Engine     Engine `json:"engine,omitempty"`
	// Annotations are what the operators' tools keep beside a backend; wardtray stores and gives them back unchanged.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Engine is what operators tell of the engines of a backend's runners; 0 stands for not told.
//
//easyjson:json
type Engine struct {
	// Slots is how many requests a runner works on at once.
	Slots int `json:"slots,omitempty"`
	// MemoryTokens is how many tokens the running requests and the kept prefixes share.
	MemoryTokens int `json:"memory_tokens,omitempty"`
	// EventTokens is how many tokens of the answer one event holds.
	EventTokens int `json:"event_tokens,omitempty"`
}

// Route is a kind of work.
//
//easyjson:json
type Route struct {
	Name string `json:"name"`
	Pool string `json:"pool,omitempty"`
	// Value weighs the route against others; 1 to 1000, and 1 where it is left out.
	Value float64 `json:"worth"`
	// LatencyTarget is how long until the first event may take.
	LatencyTarget Duration `json:"patience"`
	// ConcurrencyLimit is the share of the backend that the route may hold while others wait; above 0, at most 1, and 1 where
	// it is left out.
	ConcurrencyLimit float64 `json:"purse"`
	// Idempotent says that a second run does no harm. Without it a prompt runs at most once.
	Idempotent bool `json:"repeatable"`
	// Authority and PathPrefix choose the route of requests that name none: the host asked for, and the
	// longest prefix that begins the path.
	Authority  string `json:"authority,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Split divides the route's requests over several backends, in the place of Backend.
	Split []Share `json:"split,omitempty"`
	// Deadline is the longest time that a request of the route is held; 0: only the client's own.
	Deadline Duration `json:"deadline,omitempty"`
	// Attempts is the most runners that one request may be sent to; 0: the product's own bound.
	Attempts int `json:"attempts,omitempty"`
	// Rank orders routes under pressure, 0 first.
	Rank int `json:"rank,omitempty"`
	// Resumable says that a stream may go on at another runner after its last whole event.
	Resumable bool `json:"resumable,omitempty"`
	// Pause is the longest time between two events with which a stream is still in time; 0: not told.
	Pause Duration `json:"pause,omitempty"`
	// CancelOnDisconnect has a run cancelled when its client closes the connection, also where it runs at most once;
	// without it such a run goes on to its end, so that its outcome is known. Repeatable routes always cancel.
	CancelOnDisconnect bool `json:"cancel_on_disconnect,omitempty"`
	// Public says that requests of the route need no tenant's key.
	Public bool `json:"public,omitempty"`
	// Annotations are what the operators' tools keep beside a route; wardtray stores and gives them back unchanged.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Cancels tells whether a run of the route ends when its client closes the connection.
func (route *Route) Cancels() bool { return route.Idempotent || route.CancelOnDisconnect }

// Tenant is a party whose requests carry its keys and count against its quota.
//
//easyjson:json
type Tenant struct {
	Name string `json:"name"`
	// Keys are the secrets that its requests may carry. The control plane alone keeps them, since operators read back
	// what they wrote; daemons get their hashes.
	Keys []string `json:"keys,omitempty"`
	// KeyHashes stand in the place of Keys in what the daemons get; see Seal.
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Rank orders tenants under pressure, 0 first; within a tenant its routes' ranks do.
	Rank  int   `json:"rank,omitempty"`
	Quota Quota `json:"quota,omitempty"`
	// Annotations are what the operators' tools keep beside a tenant; wardtray stores and gives them back unchanged.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Quota bounds what a tenant may use over all daemons together.
//
//easyjson:json
type Quota struct {
	// Rate is how much may be used a second, and Burst how much on top at once; with a rate of 0 there is no limit.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
	// Tokens says that tokens are counted, those of the prompt and the most that the answer may hold, rather than
	// requests. UncountedTokens is what a request counts that tells no tokens.
	Tokens          bool `json:"tokens,omitempty"`
	UncountedTokens int  `json:"uncounted_tokens,omitempty"`
}

// Limits tells whether the quota limits anything.
func (quota Quota) Limits() bool { return quota.Rate > 0 }

// Cost gives what a request counts that tells so many tokens; told is false for one that tells none.
func (quota Quota) Cost(tokens int, told bool) float64 {
	if !quota.Tokens {
		return 1
	}
	if !told {
		return float64(quota.UncountedTokens)
	}
	return float64(tokens)
}

// Share is one backend's part of a route.
//
//easyjson:json
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Limits bound what a client may send and how long it may take; 0 stands for the product's own.
//
//easyjson:json
type Limits struct {
	HeaderBytes int      `json:"header_bytes,omitempty"`
	BodyBytes   int      `json:"body_bytes,omitempty"`
	HeaderTime  Duration `json:"header_time,omitempty"`
	IdleTime    Duration `json:"idle_time,omitempty"`
}

// Change adds, replaces and removes entries of a spec by their names.
//
//easyjson:json
type Change struct {
	Upsert Entries `json:"upsert,omitempty"`
	Remove Names   `json:"remove,omitempty"`
	Limits *Limits `json:"limits,omitempty"`
	// Annotations replace those of the same name; null takes one away.
	Annotations Annotations `json:"annotations,omitempty"`
}

// Entries are added to a spec, or stand in the place of those with the same name.
//
//easyjson:json
type Entries struct {
	Zones    []Zone   `json:"zones,omitempty"`
	Backends []Pool   `json:"pools,omitempty"`
	Routes   Routes   `json:"lanes,omitempty"`
	Tenants  []Tenant `json:"tenants,omitempty"`
}

// Names are what is removed. One that is not there is no flaw: it is gone, as was asked.
//
//easyjson:json
type Names struct {
	Zones    []string `json:"zones,omitempty"`
	Backends []string `json:"pools,omitempty"`
	Routes   []string `json:"lanes,omitempty"`
	Tenants  []string `json:"tenants,omitempty"`
}

// Problem is one fault of a spec.
//
//easyjson:json
type Problem struct {
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// Parse reads a spec strictly; it does not yet check it.
func Parse(content []byte) (*Spec, error) {
	if len(content) > MaximumBytes {
		return nil, apierror.New(apierror.TooLarge, "a spec of %d bytes; at most %d", len(content), MaximumBytes)
	}
	if err := strictjson.Check(content); err != nil {
		return nil, err
	}
	parsed := &Spec{}
	if err := easyjson.Unmarshal(content, parsed); err != nil {
		return nil, apierror.New(apierror.Malformed, "%v", err)
	}
	return parsed, nil
}

// Decode reads a spec that wardtray itself has encoded after checking it.
func Decode(content []byte) (*Spec, error) {
	decoded := &Spec{}
	if err := easyjson.Unmarshal(content, decoded); err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "reading a spec that was checked before")
	}
	return decoded, nil
}

// Encode gives the canonical form.
func (spec *Spec) Encode() []byte {
	content, err := easyjson.Marshal(spec)
	if err != nil {
		panic(err) // Plain fields always marshal; anything else is a defect of ours.
	}
	return content
}

// Allows tells whether a backend may use a service.
func (backend *Pool) Allows(service string) bool {
	for _, allowed := range backend.Services {
		if allowed == service {
			return true
		}
	}
	return false
}

// Runs tells whether a backend serves a model; one that names none serves any.
func (backend *Pool) Runs(model string) bool { return backend.Model == "" || backend.Model == model }

// Serves tells whether a backend has an adapter; no adapter at all is always served.
func (backend *Pool) Serves(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, served := range backend.Adapters {
		if served == adapter {
			return true
		}
	}
	return false
}
