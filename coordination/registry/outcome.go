package registry

// Outcome is the outcome of a call.
type Outcome string

const (
	// Accepted means that the call was accepted.
	Accepted Outcome = "taken"
	// Outdated means that a later call is already known.
	Outdated Outcome = "late"
	// TableFull means that the table has reached MaximumRunners.
	TableFull Outcome = "full"
	// Unreachable means that this control node can't notify the other processes.
	Unreachable Outcome = "unheard"
)
