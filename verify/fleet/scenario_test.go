package fleet

import (
	"slices"
	"testing"
)

// Every scenario can run on every deployment: its steps are within the load's duration, and in order unless the
// scenario is listed as overlapping. A step out of order would start later than its time.
func TestStepsAreWithinTheLoad(t *testing.T) {
	// In clientsDisconnect the first freezes start late, directly after the overload.
	overlapping := []string{"requesters-leave"}
	for name, scenario := range Scenarios {
		for _, deployment := range Deployments {
			last := 0.0
			for _, step := range scenario.stepsFor(deployment) {
				if step.At < 0 || step.At > 1 || len(step.Actions) == 0 {
					t.Errorf("%s on %s: a step at %v with %d actions", name, deployment.Name, step.At, len(step.Actions))
				}
				if step.At < last && !slices.Contains(overlapping, name) {
					t.Errorf("%s on %s: a step at %v after one at %v", name, deployment.Name, step.At, last)
				}
				last = max(last, step.At)
			}
		}
		if scenario.Help == "" {
			t.Errorf("%s has no help", name)
		}
	}
}

func TestStepsFollowTheDeployment(t *testing.T) {
	for name, count := range map[string]func(Deployment) int{
		"rolling-release": func(deployment Deployment) int { return deployment.Runners },
		"rolling-restart": func(deployment Deployment) int { return deployment.Machines() + deployment.Cores() },
		"core-swapped":    func(deployment Deployment) int { return deployment.Cores() + 1 },
		"zones-closed":    func(deployment Deployment) int { return 2 * len(deployment.Zones) },
		"calm":            func(Deployment) int { return 0 },
	} {
		for _, deployment := range Deployments {
			if steps := Scenarios[name].stepsFor(deployment); len(steps) != count(deployment) {
				t.Errorf("%s on %s has %d steps instead of %d", name, deployment.Name, len(steps), count(deployment))
			}
		}
	}
}
