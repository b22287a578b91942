package apierror

// remedies maps each code to advice for the reader of the error. Clients receive it in JSON with the code.
var remedies = map[Code]string{
	Malformed:               "mend the request as the detail says and send it again",
	TooLarge:                "send less: the limits are in docs/interface.md",
	UnknownRoute:            "name a lane of the present spec (wtctl get)",
	UnknownModel:            "name the model of the lane's pool (wtctl get)",
	UnknownAdapter:          "name an adapter of the lane's pool (wtctl get)",
	UnknownKey:              "send a key of a tenant of the present spec",
	QuotaExceeded:           "come back after Retry-After, or raise the tenant's quota",
	ConcurrencyLimitReached: "come back after Retry-After, or raise the lane's purse",
	LatencyTargetMissed:     "come back after Retry-After, or give the lane more patience",
	QueueFull:               "come back after Retry-After",
	NoRunner:                "come back after Retry-After; look at wtctl status runners",
	NotServing:              "ask another daemon; this one has no present spec",
	AtMostOnceLimitReached:  "come back after Retry-After; add daemons where it lasts",
	OutcomeUnknown:          "ask by the operation or request id before sending it anew: it may have run",
	RunFailed:               "the run broke off; send the request again if a second run does no harm",
	DuplicateRequest: "a request with this id was taken already; " +
		"ask what became of it, or give a new request a new id",
	ClientDisconnected: "keep the connection open, in both directions, until the answer is whole; " +
		"send the request again if it is still wanted",
	StaleBase:       "read the present spec, build the change on its epoch and send it again",
	InvalidSpec:     "mend every fault listed and send the spec again",
	NoQuorum:        "wait until most keepers and a full chain are up (wtctl status chain)",
	Busy:            "too many changes wait; send this one again a little later",
	Partitioned:     "ask another core; this one reaches neither daemons nor most cores",
	NotFound:        "check the path or the id",
	InvalidSettings: "mend the startup file or flags as listed and start again",
	InvalidFrame:    "the sender is no wardtray process of a known edition; check its address",
	DataLost:        "the folder's contents can't be trusted; the machine joins again as a new member",
	DiskFailed:      "check the data folder's disk: space, mount and speed",
	WrongIdentity:   "another runner answers at this address; the platform list will catch up",
	Unreachable:     "check that the other process is up and its address right",
	NotAnswered:     "ask another process; this one is there and does not know the question",
	Internal:        "this is a defect; please report it with the log line",
}
