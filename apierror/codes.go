package apierror

// Code identifies a kind of failure. It is part of the public interface: clients receive it in JSON, and programs may
// depend on it. A Code is itself an error, so that errors.Is(err, apierror.Busy) finds a failure of that kind anywhere
// in a chain of wrapped errors.
type Code string

// Error returns the code as it appears in JSON.
func (code Code) Error() string { return string(code) }

// Refusals of requests because of their content.
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
	// NotFound: nothing exists at the requested path, or with the requested id.
	NotFound Code = "not_found"
)

// Refusals of requests because of load. The request was not sent to a runner, and may be retried after Retry-After.
const (
	// QuotaExceeded: the tenant has used up its quota.
	QuotaExceeded Code = "quota_spent"
	// ConcurrencyLimitReached: the route occupies its share of the backend while others wait.
	ConcurrencyLimitReached Code = "purse_spent"
	// LatencyTargetMissed: the request would be dispatched too late for the route's latency target.
	LatencyTargetMissed Code = "patience_short"
	// QueueFull: the queue of waiting requests is full.
	QueueFull Code = "waitlist_full"
	// NoRunner: the backend has no usable runner.
	NoRunner Code = "no_fit_runner"
	// NotServing: the daemon has no valid configuration.
	NotServing Code = "not_serving"
	// AtMostOnceLimitReached: the daemon can't retain the ids of more at-most-once requests.
	AtMostOnceLimitReached Code = "too_many_remembered"
)

// Failures of requests after they were accepted.
const (
	// OutcomeUnknown: the request, or the change, may or may not have taken effect.
	OutcomeUnknown Code = "outcome_unknown"
	// RunFailed: the run started and was interrupted.
	RunFailed Code = "run_failed"
	// ClientDisconnected: the client disconnected before the response was complete.
	ClientDisconnected Code = "requester_gone"
)

// Refusals of changes of the configuration.
const (
	// StaleBase: the change is based on a configuration version that has been replaced.
	StaleBase Code = "stale_base"
	// InvalidSpec: the resulting configuration would have problems; each is listed with its path.
	InvalidSpec Code = "invalid_spec"
	// NoQuorum: there is no quorum of the control plane.
	NoQuorum Code = "no_majority"
	// Busy: too many changes are pending.
	Busy Code = "busy"
	// Partitioned: the requested control node is partitioned from the daemons and most other nodes.
	Partitioned Code = "cut_off"
)

// Failures of processes, of their connections and of their storage.
const (
	// InvalidSettings: the settings or flags of a process are invalid; each problem is listed.
	InvalidSettings Code = "bad_startup"
	// InvalidFrame: a connection between processes received bytes that are not a frame of the protocol.
	InvalidFrame Code = "bad_frame"
	// DataLost: the data folder's content is missing or corrupt.
	DataLost Code = "no_memory"
	// DiskFailed: a read or a write of the data folder failed.
	DiskFailed Code = "disk_failed"
	// WrongIdentity: a runner other than the expected one answered at its address.
	WrongIdentity Code = "wrong_identity"
	// Unreachable: a process can't be reached.
	Unreachable Code = "unreachable"
	// NotAnswered: the process was reached, but doesn't serve this request.
	NotAnswered Code = "not_answered"
	// Internal: a defect of wardtray, and the code of every error without a code.
	Internal Code = "internal"
)
