package proxy

import "testing"

var allStates = []state{
	stateReading, stateScheduling, stateConnecting, stateSent, stateRelaying, stateFinished,
}

// A request only makes valid transitions, never leaves its final state and never returns to reading.
func TestStateMachine(t *testing.T) {
	for _, from := range allStates {
		for _, to := range allStates {
			machine := stateMachine{current: from}
			allowed := transitions[transition{from, to}]
			if panicked := panics(func() { machine.to(to) }); panicked == allowed {
				t.Errorf("from %s to %s: panics %v", from, to, panicked)
			}
			if allowed && (machine.current != to || from == stateFinished || to == stateReading) {
				t.Errorf("from %s to %s: the state is %s", from, to, machine.current)
			}
		}
	}
}

// panics reports whether a function panics.
func panics(do func()) (panicked bool) {
	defer func() { panicked = recover() != nil }()
	do()
	return false
}
