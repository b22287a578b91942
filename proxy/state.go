package proxy

import "fmt"

// state is a stage in the processing of a request.
type state string

const (
	// stateReading: the request is being read and checked against the configuration.
	stateReading state = "reading"
	// stateScheduling: a runner is being chosen, or the request waits for one in the queue.
	stateScheduling state = "scheduling"
	// stateConnecting: the connection to the chosen runner is being made, and the decision is checked for the last time.
	stateConnecting state = "connecting"
	// stateSent: bytes go out to the runner, or the request waits for the response.
	stateSent state = "sent"
	// stateRelaying: the response is being forwarded to the client.
	stateRelaying state = "relaying"
	// stateFinished: no further attempt follows; what remains is to respond, to record the outcome and to release
	// resources.
	stateFinished state = "finished"
)

// transition is a change of state.
type transition struct{ from, to state }

// transitions holds all valid transitions.
var transitions = map[transition]bool{
	{stateReading, stateScheduling}:    true,
	{stateReading, stateFinished}:      true,
	{stateScheduling, stateConnecting}: true,
	{stateScheduling, stateFinished}:   true,
	{stateConnecting, stateScheduling}: true,
	{stateConnecting, stateSent}:       true,
	{stateConnecting, stateFinished}:   true,
	{stateSent, stateScheduling}:       true,
	{stateSent, stateRelaying}:         true,
	{stateSent, stateFinished}:         true,
	{stateRelaying, stateScheduling}:   true,
	{stateRelaying, stateFinished}:     true,
}

// stateMachine holds the state of one request.
type stateMachine struct{ current state }

// to changes the state. It panics on a change that is not a valid transition, which is a programming error.
func (machine *stateMachine) to(next state) {
	if !transitions[transition{machine.current, next}] {
		panic(fmt.Sprintf("proxy: invalid transition of a request from %s to %s", machine.current, next))
	}
	machine.current = next
}
