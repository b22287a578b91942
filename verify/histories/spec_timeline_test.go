package histories

import (
	"slices"
	"testing"
	"time"

	"wardtray/config"
)

// newTimeline returns a timeline in which zones a and b are open from epoch 1 on, epoch 2 closes b, and epoch 3, which
// was never acknowledged, opens it again.
func newTimeline(t *testing.T) (timeline specTimeline, at func(seconds float64) time.Time) {
	t.Helper()
	at = func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	spec := &config.Spec{Zones: []config.Zone{{Name: "a"}, {Name: "b"}}}
	requests := []*OperatorRequest{
		{Operation: "open", Verb: "open", Zone: "b", Sent: at(20), Got: at(25), Outcome: "lost"},
		{Operation: "close", Verb: verbClose, Zone: "b", Sent: at(10), Got: at(11), Outcome: outcomeAccepted, Epoch: 2},
		{Operation: "apply", Verb: verbApply, Spec: spec, Sent: at(0), Got: at(1), Outcome: outcomeAccepted, Epoch: 1},
		{Operation: "get", Verb: verbGet, Sent: at(5), Got: at(5), Outcome: outcomeAccepted, Epoch: 1},
		{Operation: "refused", Verb: verbClose, Zone: "a", Sent: at(6), Got: at(7), Outcome: outcomeRefused},
	}
	timeline = newSpecTimeline()
	timeline.refresh(requests, map[string]uint64{"open": 3})
	return timeline, at
}

// openStates reports for each version whether a zone is open.
func openStates(versions []specVersion, zone string) []bool {
	states := make([]bool, 0, len(versions))
	for _, version := range versions {
		states = append(states, version.catalog.IsOpen(zone))
	}
	return states
}

func TestTimelineHasWhatTookEffectByEpoch(t *testing.T) {
	timeline, _ := newTimeline(t)
	if want := []bool{true, false, true}; !slices.Equal(openStates(timeline.versions, "b"), want) {
		t.Errorf("zone b is open by %v instead of %v", openStates(timeline.versions, "b"), want)
	}
	if want := []bool{true, true, true}; !slices.Equal(openStates(timeline.versions, "a"), want) {
		t.Errorf("zone a is open by %v instead of %v", openStates(timeline.versions, "a"), want)
	}
	if !timeline.versions[2].acknowledged.IsZero() {
		t.Errorf("a change without an acknowledgement has the acknowledgement time %v", timeline.versions[2].acknowledged)
	}
}

func TestTimelineIsMadeAnewOnlyForSettledChanges(t *testing.T) {
	timeline, at := newTimeline(t)
	timeline.refresh(nil, map[string]uint64{"1": 1, "2": 2, "3": 3, "4": 4})
	if len(timeline.versions) != 3 {
		t.Fatalf("%d versions instead of 3 after a refresh without further changes", len(timeline.versions))
	}
	timeline.refresh([]*OperatorRequest{{Operation: "x", Verb: verbClose, Zone: "a", Sent: at(1)}},
		map[string]uint64{"x": 1})
	if len(timeline.versions) != 1 {
		t.Errorf("%d versions instead of 1", len(timeline.versions))
	}
}

func TestSpecsBetween(t *testing.T) {
	timeline, at := newTimeline(t)
	for _, test := range []struct {
		name        string
		from, until float64
		want        []bool
	}{
		{"before the first", -2, -1, nil},
		{"sent and not acknowledged", 0.5, 0.5, []bool{true}},
		{"closing not acknowledged yet", 10.5, 10.5, []bool{true, false}},
		{"within the bound", 12.9, 12.9, []bool{true, false}},
		{"beyond the bound", 13.1, 13.1, []bool{false}},
		{"several versions", 12.9, 21, []bool{true, false, true}},
		{"opening never acknowledged", 60, 60, []bool{false, true}},
	} {
		got := openStates(timeline.between(at(test.from), at(test.until), 2*time.Second), "b")
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: zone b is open by %v instead of %v", test.name, got, test.want)
		}
	}
}

func TestOutdatedFor(t *testing.T) {
	timeline, at := newTimeline(t)
	open := func(catalog *config.Catalog) bool { return catalog.IsOpen("b") }
	for seconds, want := range map[float64]time.Duration{
		5:    0,
		10.5: 0,
		14:   3 * time.Second,
		// The opening has been sent at 20 s and may be in effect.
		21: 0,
	} {
		if got := timeline.outdatedFor(at(seconds), open); got != want {
			t.Errorf("after %v s: %v instead of %v", seconds, got, want)
		}
	}
}
