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
	// MaximumCall bounds a runner's call in bytes.
	MaximumCall  = 4 << 10
	maximumID    = 128
	maximumName  = 128
	maximumSlots = 65536
	maximumCold  = 10 * time.Minute
)

// Call is what a runner tells of itself.
//
//easyjson:json
type Call struct {
	// Address is where it takes requests, as ip:port.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	// Revision is of its software.
	Revision string `json:"revision,omitempty"`
	// Slots is how many requests it works on at once.
	Slots uint32 `json:"slots"`
	// State is ready, or draining ahead of a planned end.
	State string `json:"state"`
	// Cold is for how long it is still slow after its start.
	Cold config.Duration `json:"cold,omitempty"`
	// Call goes up with every call of one life, so that a late one can be told.
	Call uint64 `json:"call"`
}

// callStates are the states that a runner tells of itself.
var callStates = map[string]bool{Ready: true, Draining: true}

// Read reads a call strictly and checks it whole.
func Read(id string, content []byte) (*wire.Runner, error) {
	if len(content) > MaximumCall {
		return nil, apierror.New(apierror.TooLarge, "a call has at most %d bytes", MaximumCall)
	}
	if err := strictjson.Check(content); err != nil {
		return nil, err
	}
	call := Call{}
	if err := easyjson.Unmarshal(content, &call); err != nil {
		return nil, apierror.Wrap(err, apierror.Malformed, "the call")
	}
	return call.Line(id)
}

// Line checks a call and gives the line that it asks for; every fault is named with its path.
func (call Call) Line(id string) (*wire.Runner, error) {
	var flaws []string
	flaw := func(bad bool, format string, values ...any) {
		if bad {
			flaws = append(flaws, fmt.Sprintf(format, values...))
		}
	}
	flaw(!CheckID(id), "id: wants 1 to %d letters without blanks or slashes", maximumID)
	flaw(!place(call.Address), "address: %q is no ip:port", call.Address)
	flaw(!name(call.Zone), "zone: wants 1 to %d letters without blanks or slashes", maximumName)
	flaw(!name(call.Service), "service: wants 1 to %d letters without blanks or slashes", maximumName)
	flaw(len(call.Revision) > maximumName || !utf8.ValidString(call.Revision), "revision: at most %d bytes of UTF-8", maximumName)
	flaw(call.Slots < 1 || call.Slots > maximumSlots, "slots: wants 1 to %d", maximumSlots)
	flaw(!callStates[call.State], "state: %q is neither ready nor draining", call.State)
	flaw(call.Cold < 0 || time.Duration(call.Cold) > maximumCold, "cold: wants 0s to %v", maximumCold)
	if len(flaws) > 0 {
		return nil, apierror.New(apierror.Malformed, "%s", strings.Join(flaws, "; "))
	}
	line := &wire.Runner{RunnerId: id, Address: call.Address, Zone: call.Zone, Service: call.Service, Revision: call.Revision, Slots: call.Slots,
		State: call.State, Call: call.Call}
	if cold := uint32(time.Duration(call.Cold) / time.Millisecond); call.State == Ready && cold > 0 {
		line.State, line.SlowStartMilliseconds = Cold, cold
	}
	return line, nil
}

// CheckID tells whether something can be a runner's id.
func CheckID(id string) bool { return id != "" && len(id) <= maximumID && plain(id) }

func name(text string) bool { return text != "" && len(text) <= maximumName && plain(text) }

// plain tells whether a text can be told to every process: a message can't hold other bytes than UTF-8, and one line
// with such bytes would keep everything from being told that travels with it.
func plain(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, func(letter rune) bool { return letter <= ' ' || letter == '/' || letter == 0x7f })
}

func place(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
