// Package spec is the one document that operators write: lanes, pools and zones. It is read by
// generated easyjson code, checked whole, and kept in one canonical form.
package spec

import (
	"fmt"
	"time"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"wardtray/process/fault"
	"wardtray/process/strict"
)

//go:generate go tool easyjson -disallow_unknown_fields -output_filename spec_easyjson.go spec.go

const (
	// MaximumBytes bounds a spec as sent.
	MaximumBytes = 16 << 20
	// MaximumLanes, MaximumPools and MaximumZones bound what it may hold.
	MaximumLanes = 50000
	MaximumPools = 10000
	MaximumZones = 64
)

// Span is a length of time, written as in "1.5s".
type Span time.Duration

// MarshalEasyJSON writes a span.
func (span Span) MarshalEasyJSON(writer *jwriter.Writer) { writer.String(time.Duration(span).String()) }

// UnmarshalEasyJSON reads a span.
func (span *Span) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	text := lexer.String()
	if !lexer.Ok() {
		return
	}
	length, failure := time.ParseDuration(text)
	if failure != nil {
		lexer.AddError(fmt.Errorf("%q is no length of time; write it as in 1.5s", text))
		return
	}
	*span = Span(length)
}

// Spec is the whole document.
//
//easyjson:json
type Spec struct {
	Zones []Zone `json:"zones"`
	Pools []Pool `json:"pools"`
	Lanes []Lane `json:"lanes"`
	// Limits hold for every requester.
	Limits Limits `json:"limits,omitempty"`
	// Annotations are what the operators' tools keep beside the spec.
	Annotations map[string]easyjson.RawMessage `json:"annotations,omitempty"`
}

// Zone is a place that may be closed to new work.
//
//easyjson:json
type Zone struct {
	Name   string `json:"name"`
	Closed bool   `json:"closed"`
}

// Pool is the runners that serve one model with one set of weights.
//
//easyjson:json
type Pool struct {
	Name     string   `json:"name"`
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters,omitempty"`
	// Services are the services of which runners may take this pool's work.
	Services []string `json:"services"`
	// ConnectionLimit is how many connections one runner takes from all daemons together; 0: not told.
	ConnectionLimit int `json:"connection_limit,omitempty"`
	// HealthPath is where a runner answers whether it thinks that it is well; empty: nowhere.
	HealthPath string `json:"health_path,omitempty"`
	Engine     Engine `json:"engine,omitempty"`
	// Annotations are what the operators' tools keep beside a pool; wardtray stores and gives them back unchanged.
	Annotations map[string]easyjson.RawMessage `json:"annotations,omitempty"`
}

// Engine is what operators tell of the engines of a pool's runners; 0 stands for not told.
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

// Lane is a kind of work.
//
//easyjson:json
type Lane struct {
	Name string `json:"name"`
	Pool string `json:"pool"`
	// Worth weighs the lane against others; 1 to 1000.
	Worth float64 `json:"worth"`
	// Patience is how long until the first event may take.
	Patience Span `json:"patience"`
	// Purse is the share of the pool that the lane may hold while others wait; above 0, at most 1.
	Purse float64 `json:"purse"`
	// Repeatable says that a second run does no harm. Without it a prompt runs at most once.
	Repeatable bool `json:"repeatable"`
	// Authority and PathPrefix choose the lane of requests that name none: the host asked for, and the
	// longest prefix that begins the path.
	Authority  string `json:"authority,omitempty"`
	PathPrefix string `json:"path_prefix,omitempty"`
	// Split divides the lane's requests over several pools, in the place of Pool.
	Split []Share `json:"split,omitempty"`
	// Deadline is the longest time that a request of the lane is held; 0: only the requester's own.
	Deadline Span `json:"deadline,omitempty"`
	// Attempts is the most runners that one request may be sent to; 0: the product's own bound.
	Attempts int `json:"attempts,omitempty"`
	// Rank orders lanes under pressure, 0 first.
	Rank int `json:"rank,omitempty"`
	// Resumable says that a stream may go on at another runner after its last whole event.
	Resumable bool `json:"resumable,omitempty"`
	// Pause is the longest time between two events with which a stream is still in time; 0: not told.
	Pause Span `json:"pause,omitempty"`
	// Annotations are what the operators' tools keep beside a lane; wardtray stores and gives them back unchanged.
	Annotations map[string]easyjson.RawMessage `json:"annotations,omitempty"`
}

// Share is one pool's part of a lane.
//
//easyjson:json
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Limits bound what a requester may send and how long it may take; 0 stands for the product's own.
//
//easyjson:json
type Limits struct {
	HeaderBytes int  `json:"header_bytes,omitempty"`
	BodyBytes   int  `json:"body_bytes,omitempty"`
	HeaderTime  Span `json:"header_time,omitempty"`
	IdleTime    Span `json:"idle_time,omitempty"`
}

// Flaw is one fault of a spec.
//
//easyjson:json
type Flaw struct {
	Path   string `json:"path"`
	Detail string `json:"detail"`
}

// Parse reads a spec strictly; it does not yet check it.
func Parse(content []byte) (*Spec, error) {
	if len(content) > MaximumBytes {
		return nil, fault.New(fault.TooLarge, "a spec of %d bytes; at most %d", len(content), MaximumBytes)
	}
	if failure := strict.Check(content); failure != nil {
		return nil, failure
	}
	parsed := &Spec{}
	if failure := easyjson.Unmarshal(content, parsed); failure != nil {
		return nil, fault.New(fault.Malformed, "%v", failure)
	}
	return parsed, nil
}

// Encode gives the canonical form.
func (spec *Spec) Encode() []byte {
	content, failure := easyjson.Marshal(spec)
	if failure != nil {
		panic(failure) // Why: plain fields always marshal; anything else is a defect of ours.
	}
	return content
}

// Check lists every flaw, in the order of the document.
func (spec *Spec) Check() []Flaw {
	var flaws []Flaw
	flaw := func(path, format string, values ...any) {
		flaws = append(flaws, Flaw{Path: path, Detail: fmt.Sprintf(format, values...)})
	}
	count := func(path string, have, least, most int) {
		if have < least || have > most {
			flaw(path, "has %d entries; wants %d to %d", have, least, most)
		}
	}
	count("zones", len(spec.Zones), 1, MaximumZones)
	count("pools", len(spec.Pools), 1, MaximumPools)
	count("lanes", len(spec.Lanes), 1, MaximumLanes)
	name := func(path, name string, seen map[string]bool) {
		if !plain(name) {
			flaw(path+".name", "wants 1 to 64 of the letters a-z, 0-9, '-', '_' and '.'")
			return
		}
		if seen[name] {
			flaw(path+".name", "%q is there twice", name)
		}
		seen[name] = true
	}
	text := func(path, value string) {
		if value == "" || len(value) > 256 {
			flaw(path, "wants 1 to 256 bytes")
		}
	}
	distinct := func(path string, list []string) {
		seen := map[string]bool{}
		for position, value := range list {
			here := fmt.Sprintf("%s[%d]", path, position)
			text(here, value)
			if seen[value] {
				flaw(here, "%q is there twice", value)
			}
			seen[value] = true
		}
	}
	zones, pools, lanes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for place, zone := range spec.Zones {
		name(fmt.Sprintf("zones[%d]", place), zone.Name, zones)
	}
	for place, pool := range spec.Pools {
		path := fmt.Sprintf("pools[%d]", place)
		name(path, pool.Name, pools)
		text(path+".model", pool.Model)
		text(path+".weights", pool.Weights)
		count(path+".services", len(pool.Services), 1, 64)
		count(path+".adapters", len(pool.Adapters), 0, 1024)
		distinct(path+".services", pool.Services)
		distinct(path+".adapters", pool.Adapters)
	}
	for place, lane := range spec.Lanes {
		path := fmt.Sprintf("lanes[%d]", place)
		name(path, lane.Name, lanes)
		if !pools[lane.Pool] {
			flaw(path+".pool", "there is no pool %q", lane.Pool)
		}
		if !(lane.Worth >= 1 && lane.Worth <= 1000) {
			flaw(path+".worth", "wants 1 to 1000")
		}
		if patience := time.Duration(lane.Patience); patience < 10*time.Millisecond || patience > time.Hour {
			flaw(path+".patience", "wants 10ms to 1h")
		}
		if !(lane.Purse > 0 && lane.Purse <= 1) {
			flaw(path+".purse", "wants more than 0, at most 1")
		}
	}
	return flaws
}

// plain tells whether a name can stand in headers, paths and command lines as it is.
func plain(name string) bool {
	for _, letter := range name {
		if !(letter >= 'a' && letter <= 'z' || letter >= '0' && letter <= '9' || letter == '-' || letter == '_' || letter == '.') {
			return false
		}
	}
	return len(name) >= 1 && len(name) <= 64
}

// Book is a spec with its entries ready to be found by name.
type Book struct {
	Spec  *Spec
	Lanes map[string]*Lane
	Pools map[string]*Pool
	Zones map[string]*Zone
}

// NewBook indexes a checked spec.
func NewBook(spec *Spec) *Book {
	book := &Book{Spec: spec, Lanes: map[string]*Lane{}, Pools: map[string]*Pool{}, Zones: map[string]*Zone{}}
	for place := range spec.Zones {
		book.Zones[spec.Zones[place].Name] = &spec.Zones[place]
	}
	for place := range spec.Pools {
		book.Pools[spec.Pools[place].Name] = &spec.Pools[place]
	}
	for place := range spec.Lanes {
		book.Lanes[spec.Lanes[place].Name] = &spec.Lanes[place]
	}
	return book
}

// Open tells whether a zone is named and not closed.
func (book *Book) Open(zone string) bool {
	found := book.Zones[zone]
	return found != nil && !found.Closed
}

// Allows tells whether a pool may use a service.
func (pool *Pool) Allows(service string) bool {
	for _, allowed := range pool.Services {
		if allowed == service {
			return true
		}
	}
	return false
}

// Serves tells whether a pool has an adapter; no adapter at all is always served.
func (pool *Pool) Serves(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, served := range pool.Adapters {
		if served == adapter {
			return true
		}
	}
	return false
}
