package proxy

import "fmt"

// state is a stage in the life of a request.
type state string

const (
	// stateReading: the request is read and checked against the configuration.
	stateReading state = "reading"
	// stateScheduling: a runner is chosen, or waited for in the queue.
	stateScheduling state = "scheduling"
	// stateConnecting: the chosen runner is connected to, and the decision checked for the last time.
	stateConnecting state = "connecting"
	// stateSent: bytes go out to the runner, or its response is waited for.
	stateSent state = "sent"
	// stateRelaying: the response is forwarded to the client.
	stateRelaying state = "relaying"
	// stateFinished: no attempt may follow; what remains is to respond, to record the outcome and to release resources.
	stateFinished state = "finished"
)

// transition is a change of state.
type transition struct{ from, to state }

// transitions are all that there are.
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

// to changes the state. A change that is not a transition is a programming error and panics.
func (machine *stateMachine) to(next state) {
	if !transitions[transition{machine.current, next}] {
		panic(fmt.Sprintf("a request can't go from %s to %s", machine.current, next))
	}
	machine.current = next
}
