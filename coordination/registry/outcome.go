package registry

// Outcome is how a call ended.
type Outcome string

const (
	// Accepted is a call that was accepted.
	Accepted Outcome = "taken"
	// Outdated is a call that is older than what is known.
	Outdated Outcome = "late"
	// TableFull is a call for which the table has no room.
	TableFull Outcome = "full"
	// Unreachable is a call that was not accepted since this core can't notify the other processes.
	Unreachable Outcome = "unheard"
)
