package registry

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/strictjson"
	"wardtray/wire"
)

//go:generate go tool easyjson -disallow_unknown_fields -output_filename call_easyjson.go call.go

const (
	// MaximumCallBytes is the maximum size of the body of a runner's call in bytes.
	MaximumCallBytes = 4 << 10
	// maximumID is the maximum length of an id, maximumName that of the names of a zone, a service and a revision, in
	// bytes.
	maximumID    = 128
	maximumName  = 128
	maximumSlots = 65536
	maximumCold  = 10 * time.Minute
)

// Call is the body of a runner's HTTP call, in which it reports its properties and state.
//
//easyjson:json
type Call struct {
	// Address is the address at which the runner accepts requests, as ip:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Revision is the revision of its software; it may be empty.
	Revision string `json:"revision,omitempty"`
	// Slots is the number of requests that it processes concurrently.
	Slots uint32 `json:"slots"`
	// State is ready, or draining before a planned shutdown.
	State string `json:"state"`
	// Cold is the remaining duration of its slow start; 0: none.
	Cold config.Duration `json:"cold,omitempty"`
	// Call is the number of the call. It increases with each call of one incarnation, so that delayed calls are
	// recognized.
	Call uint64 `json:"call"`
}

// callStates are the states that a runner may report.
var callStates = map[string]bool{Ready: true, Draining: true}

// ParseCall strictly parses and validates the body of a call of the runner with the given id. The error is
// apierror.TooLarge or apierror.Malformed.
func ParseCall(id string, content []byte) (*wire.Runner, error) {
	if len(content) > MaximumCallBytes {
		return nil, apierror.New(apierror.TooLarge, "a call has at most %d bytes", MaximumCallBytes)
	}
	if err := strictjson.Check(content); err != nil {
		return nil, err
	}
	call := Call{}
	if err := easyjson.Unmarshal(content, &call); err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "the call")
	}
	return call.Record(id)
}

// Record validates a call and returns the corresponding record. The error, apierror.Malformed, names the path of every
// invalid field.
func (call Call) Record(id string) (*wire.Runner, error) {
	if problems := call.validate(id); len(problems) > 0 {
		return nil, apierror.New(apierror.Malformed, "%s", strings.Join(problems, "; "))
	}
	record := &wire.Runner{
		RunnerId: id, Address: call.Address, Zone: call.Zone, Service: call.Service, Revision: call.Revision,
		Slots: call.Slots, State: call.State, Call: call.Call,
	}
	if cold := uint32(time.Duration(call.Cold) / time.Millisecond); call.State == Ready && cold > 0 {
		record.State, record.SlowStartMilliseconds = Cold, cold
	}
	return record, nil
}

// validate returns a description of each invalid field of a call of the runner with an id.
func (call Call) validate(id string) []string {
	var problems []string
	check := func(valid bool, format string, values ...any) {
		if !valid {
			problems = append(problems, fmt.Sprintf(format, values...))
		}
	}
	validRevision := len(call.Revision) <= maximumName && utf8.ValidString(call.Revision)
	validCold := call.Cold >= 0 && time.Duration(call.Cold) <= maximumCold
	check(ValidID(id), "id: wants 1 to %d letters without blanks or slashes", maximumID)
	check(isAddress(call.Address), "address: %q is no ip:port", call.Address)
	check(isName(call.Zone), "zone: wants 1 to %d letters without blanks or slashes", maximumName)
	check(isName(call.Service), "service: wants 1 to %d letters without blanks or slashes", maximumName)
	check(validRevision, "revision: at most %d bytes of UTF-8", maximumName)
	check(call.Slots >= 1 && call.Slots <= maximumSlots, "slots: wants 1 to %d", maximumSlots)
	check(callStates[call.State], "state: %q is neither ready nor draining", call.State)
	check(validCold, "cold: wants 0s to %v", maximumCold)
	return problems
}

// ValidID reports whether a text is a valid runner id.
func ValidID(id string) bool { return id != "" && len(id) <= maximumID && isPlain(id) }

func isName(text string) bool { return text != "" && len(text) <= maximumName && isPlain(text) }

// isPlain reports whether a text can be sent to every process. Protobuf strings must be UTF-8: a single record with
// other bytes would prevent the complete message that carries it from being sent.
func isPlain(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, isForbidden)
}

// isForbidden reports whether a character is a blank, a control character or a slash.
func isForbidden(letter rune) bool { return letter <= ' ' || letter == '/' || letter == '\x7f' }

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
