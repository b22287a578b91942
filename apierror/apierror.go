// Package fault names every error of wardtray. A fault has a kind, whose message says
// what to do about it, and wraps the cause through cockroachdb/errors.
package apierror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Code is the typed name of a failure. It travels to callers as JSON.
type Code string

// The kinds, each with its remedy in remedies.
const (
	Malformed               Code = "malformed"
	TooLarge                Code = "too_large"
	UnknownRoute            Code = "unknown_lane"
	UnknownModel            Code = "unknown_model"
	UnknownAdapter          Code = "unknown_adapter"
	UnknownKey              Code = "unknown_key"
	QuotaSpent              Code = "quota_spent"
	ConcurrencyLimitReached Code = "purse_spent"
	LatencyTargetMissed     Code = "patience_short"
	QueueFull               Code = "waitlist_full"
	NoRunner                Code = "no_fit_runner"
	NotServing              Code = "not_serving"
	OutcomeUnknown          Code = "outcome_unknown"
	RunFailed               Code = "run_failed"
	AlreadyTaken            Code = "already_taken"
	ClientGone              Code = "requester_gone"
	StaleBase               Code = "stale_base"
	InvalidSpec             Code = "invalid_spec"
	NoMajority              Code = "no_majority"
	Busy                    Code = "busy"
	CutOff                  Code = "cut_off"
	NotFound                Code = "not_found"
	BadSettings             Code = "bad_startup"
	BadFrame                Code = "bad_frame"
	NoMemory                Code = "no_memory"
	DiskFailed              Code = "disk_failed"
	WrongIdentity           Code = "wrong_identity"
	Unreachable             Code = "unreachable"
	NotAnswered             Code = "not_answered"
	Internal                Code = "internal"
)

// remedies is what the reader of an error can do.
var remedies = map[Code]string{
	Malformed:               "mend the request as the detail says and send it again",
	TooLarge:                "send less: the limits are in docs/interface.md",
	UnknownRoute:            "name a lane of the present spec (wtctl get)",
	UnknownModel:            "name the model of the lane's pool (wtctl get)",
	UnknownAdapter:          "name an adapter of the lane's pool (wtctl get)",
	UnknownKey:              "send a key of a tenant of the present spec",
	QuotaSpent:              "come back after Retry-After, or raise the tenant's quota",
	ConcurrencyLimitReached: "come back after Retry-After, or raise the lane's purse",
	LatencyTargetMissed:     "come back after Retry-After, or give the lane more patience",
	QueueFull:               "come back after Retry-After",
	NoRunner:                "come back after Retry-After; look at wtctl status runners",
	NotServing:              "ask another daemon; this one has no present spec",
	OutcomeUnknown:          "ask by the operation or request id before sending it anew: it may have run",
	RunFailed:               "the run broke off; send the request again if a second run does no harm",
	AlreadyTaken:            "a request with this id was taken already; ask what became of it, or give a new request a new id",
	ClientGone:              "keep the connection open, in both directions, until the answer is whole; send the request again if it is still wanted",
	StaleBase:               "read the present spec, build the change on its epoch and send it again",
	InvalidSpec:             "mend every fault listed and send the spec again",
	NoMajority:              "wait until most keepers and a full chain are up (wtctl status chain)",
	Busy:                    "too many changes wait; send this one again a little later",
	CutOff:                  "ask another core; this one reaches neither daemons nor most cores",
	NotFound:                "check the path or the id",
	BadSettings:             "mend the startup file or flags as listed and start again",
	BadFrame:                "the sender is no wardtray process of a known edition; check its address",
	NoMemory:                "the folder's contents can't be trusted; the machine joins again as a new member",
	DiskFailed:              "check the data folder's disk: space, mount and speed",
	WrongIdentity:           "another runner answers at this address; the platform list will catch up",
	Unreachable:             "check that the other process is up and its address right",
	NotAnswered:             "ask another process; this one is there and does not know the question",
	Internal:                "this is a defect; please report it with the log line",
}

// Error is an error of a known kind.
type Error struct {
	Code   Code
	Detail string
	cause  error
}

// Error gives kind, detail and remedy in one line.
func (fault *Error) Error() string {
	text := string(fault.Code)
	if fault.Detail != "" {
		text += ": " + fault.Detail
	}
	if fault.cause != nil {
		text += ": " + fault.cause.Error()
	}
	return text + " (remedy: " + fault.Remedy() + ")"
}

// Unwrap gives the cause.
func (fault *Error) Unwrap() error { return fault.cause }

// Remedy says what the reader can do.
func (fault *Error) Remedy() string { return remedies[fault.Code] }

// New makes a fault without a cause.
func New(kind Code, format string, values ...any) error {
	return errors.WithStackDepth(&Error{Code: kind, Detail: fmt.Sprintf(format, values...)}, 1)
}

// Wrap names a cause; a nil cause stays nil, so that callers may wrap without asking.
func Wrap(cause error, kind Code, format string, values ...any) error {
	if cause == nil {
		return nil
	}
	return errors.WithStackDepth(&Error{Code: kind, Detail: fmt.Sprintf(format, values...), cause: cause}, 1)
}

// Of finds the fault in an error; any other error is Internal.
func Of(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Code: Internal, cause: err}
}

// Is tells whether an error is a fault of this kind.
func Is(err error, kind Code) bool {
	return err != nil && Of(err).Code == kind
}
