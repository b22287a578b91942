package loadtest

import (
	"testing"
	"time"
)

// The configuration of every mix and variant is valid, and has a route for each kind and each marker.
func TestSpecsAreValid(t *testing.T) {
	for name, mix := range mixes {
		for _, variant := range []Mix{mix, mix.WithResumption(), mix.WithDeadlines(), mix.Cancelling()} {
			spec := variant.Spec([]string{"a", "b"}, "marker-1")
			if problems := spec.Check(); len(problems) > 0 {
				t.Errorf("%s: %v", name, problems)
			}
			if len(spec.Routes) != len(mix.Kinds)+1 || len(spec.Zones) != 2 {
				t.Errorf("%s: %d routes and %d zones", name, len(spec.Routes), len(spec.Zones))
			}
		}
	}
}

func TestARouteHasTheTermsOfItsKind(t *testing.T) {
	kind := Kind{Route: "r", AtMostOnce: true, Value: 3, LatencyTarget: time.Second, Cancel: true, Deadline: time.Minute}
	route := kind.route("p")
	if route.Name != "r" || route.Backend != "p" || route.Idempotent || !route.CancelOnDisconnect ||
		route.Value != 3 || time.Duration(route.LatencyTarget) != time.Second ||
		time.Duration(route.Deadline) != time.Minute {
		t.Errorf("route %+v", route)
	}
}
