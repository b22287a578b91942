package modelcheck

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// Replay takes the actions of a trace and returns the violation that they cause, or "". A message whose content has
// changed since the trace was recorded is found by its kind, sender and receiver.
func Replay(scenario Scenario, trace []Action) (violation string, err error) {
	prepared, err := prepare(&scenario)
	if err != nil {
		return "", err
	}
	world := prepared.start()
	for _, action := range trace {
		if err := world.apply(world.closestAction(action)); err != nil {
			return "", err
		}
	}
	return world.checker.violation, nil
}

// closestAction returns the action itself if it is possible, or else the first possible one with the same verb and
// subject.
func (world *world) closestAction(action Action) Action {
	possible := world.actions()
	if slices.Contains(possible, action) {
		return action
	}
	for _, other := range possible {
		if other.Verb == action.Verb && other.Subject == action.Subject {
			return other
		}
	}
	return action
}

// minimize removes actions from a trace while the remaining ones still violate the same property. An action that is no
// longer possible after the removal of another is removed as well.
func minimize(prepared *prepared, trace []Action, violation string) ([]Action, string) {
	property, _, _ := strings.Cut(violation, ":")
	for index := 0; index < len(trace); {
		shorter := append(append([]Action{}, trace[:index]...), trace[index+1:]...)
		taken, found := tryTrace(prepared, shorter)
		if strings.HasPrefix(found, property+":") {
			trace, violation = taken, found
			continue
		}
		index++
	}
	return trace, violation
}

// tryTrace takes the possible actions of a trace; it returns them and the violation that they cause, or "".
func tryTrace(prepared *prepared, trace []Action) (taken []Action, violation string) {
	world := prepared.start()
	for _, action := range trace {
		if world.apply(action) != nil {
			continue
		}
		taken = append(taken, action)
		if world.checker.violation != "" {
			return taken, world.checker.violation
		}
	}
	return taken, ""
}

// ReadTrace parses actions, one per line; blank lines are ignored.
func ReadTrace(text string) ([]Action, error) {
	var trace []Action
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		action, err := ParseAction(line)
		if err != nil {
			return nil, err
		}
		trace = append(trace, action)
	}
	return trace, nil
}

// Print searches scenarios in order and prints their results. It reports whether all properties held.
func Print(output io.Writer, scenarios []Scenario, options Options) (bool, error) {
	held := true
	for _, scenario := range scenarios {
		bounds := options
		if bounds.States == 0 {
			bounds.States = scenario.States
		}
		if bounds.Depth == 0 {
			bounds.Depth = scenario.Depth
		}
		result, err := Explore(scenario, bounds)
		if err != nil {
			return false, fmt.Errorf("%s: %w", scenario.Name, err)
		}
		held = held && result.Violation == ""
		if err := result.print(output, scenario.Name); err != nil {
			return false, err
		}
	}
	return held, nil
}

// print writes the statistics and, if a property did not hold, the trace of the violation.
func (result Result) print(output io.Writer, scenario string) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%s: %v\n", scenario, result)
	if result.Violation != "" {
		fmt.Fprintf(text, "BROKEN %s\n", result.Violation)
		for _, action := range result.Trace {
			fmt.Fprintf(text, "  %v\n", action)
		}
	}
	_, err := io.WriteString(output, text.String())
	return err
}
