package apierror

// Code identifies a kind of failure. It is part of the public interface: callers receive it in JSON, and programs may
// depend on it. A Code is an error itself, so that errors.Is(err, apierror.Busy) finds a failure of that kind anywhere
// in a chain of wrapped errors.
type Code string

// Error returns the code as it appears in JSON.
func (code Code) Error() string { return string(code) }

// Requests that are rejected because of what they say.
const (
	// Malformed: the request can't be parsed; the detail names the place.
	Malformed Code = "malformed"
	// TooLarge: the request, or a part of it, is larger than its limit.
	TooLarge Code = "too_large"
	// UnknownRoute: the request names a route that the configuration doesn't have.
	UnknownRoute Code = "unknown_lane"
	// UnknownModel: the route's backend doesn't serve the model that the request names.
	UnknownModel Code = "unknown_model"
	// UnknownAdapter: the route's backend doesn't serve the adapter that the request names.
	UnknownAdapter Code = "unknown_adapter"
	// UnknownKey: the request carries no key of a tenant, and the route isn't public.
	UnknownKey Code = "unknown_key"
	// DuplicateRequest: a request with the same id was accepted before.
	DuplicateRequest Code = "already_taken"
	// NotFound: there is nothing at the path, or with the id, that was asked for.
	NotFound Code = "not_found"
)

// Requests that are rejected because of load. None of them was sent to a runner; they may be retried after Retry-After.
const (
	// QuotaExceeded: the tenant has used up its quota.
	QuotaExceeded Code = "quota_spent"
	// ConcurrencyLimitReached: the route occupies its share of the backend while others wait.
	ConcurrencyLimitReached Code = "purse_spent"
	// LatencyTargetMissed: the request would be dispatched too late for the route's latency target.
	LatencyTargetMissed Code = "patience_short"
	// QueueFull: no more requests may wait.
	QueueFull Code = "waitlist_full"
	// NoRunner: the backend has no runner that can be used.
	NoRunner Code = "no_fit_runner"
	// NotServing: the daemon has no valid configuration to serve by.
	NotServing Code = "not_serving"
	// TooManyRemembered: no more requests that run at most once can be remembered.
	TooManyRemembered Code = "too_many_remembered"
)

// Requests that fail after they were accepted.
const (
	// OutcomeUnknown: the request, or the change, may or may not have taken effect.
	OutcomeUnknown Code = "outcome_unknown"
	// RunFailed: the run started and broke off.
	RunFailed Code = "run_failed"
	// ClientDisconnected: the client disconnected before the response was complete.
	ClientDisconnected Code = "requester_gone"
)

// Changes of the configuration that are rejected.
const (
	// StaleBase: the change was built on a version of the configuration that has been replaced.
	StaleBase Code = "stale_base"
	// InvalidSpec: the configuration that would result has problems; each is listed with its path.
	InvalidSpec Code = "invalid_spec"
	// NoQuorum: there is no quorum of the control plane.
	NoQuorum Code = "no_majority"
	// Busy: too many changes are pending.
	Busy Code = "busy"
	// Partitioned: the control node that was asked is partitioned from the daemons and most other nodes.
	Partitioned Code = "cut_off"
)

// Failures of processes, of their connections and of their storage.
const (
	// InvalidSettings: the settings or flags of a process are invalid; each problem is listed.
	InvalidSettings Code = "bad_startup"
	// InvalidFrame: what arrived on a connection between processes is no frame of the protocol.
	InvalidFrame Code = "bad_frame"
	// DataLost: the data folder's content is missing or corrupt.
	DataLost Code = "no_memory"
	// DiskFailed: a read or a write of the data folder failed.
	DiskFailed Code = "disk_failed"
	// WrongIdentity: another runner than the one expected answered at its address.
	WrongIdentity Code = "wrong_identity"
	// Unreachable: a process can't be reached.
	Unreachable Code = "unreachable"
	// NotAnswered: a process was reached, but doesn't serve the request.
	NotAnswered Code = "not_answered"
	// Internal: a defect of wardtray, and the code of every error without another.
	Internal Code = "internal"
)
