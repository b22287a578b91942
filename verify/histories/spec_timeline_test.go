package histories

import (
	"slices"
	"testing"
	"time"

	"wardtray/config"
)

// timelineOf is one in which a and b are open from epoch 1 on, b is closed by epoch 2 and opened again by epoch 3,
// whose order nobody acknowledged.
func timelineOf(t *testing.T) (timeline specTimeline, at func(seconds float64) time.Time) {
	t.Helper()
	at = func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	spec := &config.Spec{Zones: []config.Zone{{Name: "a"}, {Name: "b"}}}
	orders := []*Order{
		{Operation: "open", Verb: "open", Zone: "b", Sent: at(20), Got: at(25), Outcome: "lost"},
		{Operation: "close", Verb: verbClose, Zone: "b", Sent: at(10), Got: at(11), Outcome: outcomeAccepted, Epoch: 2},
		{Operation: "apply", Verb: verbApply, Spec: spec, Sent: at(0), Got: at(1), Outcome: outcomeAccepted, Epoch: 1},
		{Operation: "get", Verb: verbGet, Sent: at(5), Got: at(5), Outcome: outcomeAccepted, Epoch: 1},
		{Operation: "refused", Verb: verbClose, Zone: "a", Sent: at(6), Got: at(7), Outcome: outcomeRefused},
	}
	timeline = newSpecTimeline()
	timeline.refresh(orders, map[string]uint64{"open": 3})
	return timeline, at
}

// open returns which specs leave a zone open.
func open(versions []specVersion, zone string) []bool {
	states := make([]bool, 0, len(versions))
	for _, version := range versions {
		states = append(states, version.catalog.IsOpen(zone))
	}
	return states
}

func TestTimelineHasWhatTookEffectByEpoch(t *testing.T) {
	timeline, _ := timelineOf(t)
	if want := []bool{true, false, true}; !slices.Equal(open(timeline.versions, "b"), want) {
		t.Errorf("zone b is open by %v instead of %v", open(timeline.versions, "b"), want)
	}
	if want := []bool{true, true, true}; !slices.Equal(open(timeline.versions, "a"), want) {
		t.Errorf("zone a is open by %v instead of %v", open(timeline.versions, "a"), want)
	}
	if !timeline.versions[2].acknowledged.IsZero() {
		t.Errorf("an order that nobody acknowledged is acknowledged at %v", timeline.versions[2].acknowledged)
	}
}

func TestTimelineIsMadeAnewOnlyForSettledChanges(t *testing.T) {
	timeline, at := timelineOf(t)
	timeline.refresh(nil, map[string]uint64{"1": 1, "2": 2, "3": 3, "4": 4})
	if len(timeline.versions) != 3 {
		t.Fatalf("%d versions after no change", len(timeline.versions))
	}
	timeline.refresh([]*Order{{Operation: "x", Verb: verbClose, Zone: "a", Sent: at(1)}}, map[string]uint64{"x": 1})
	if len(timeline.versions) != 1 {
		t.Errorf("%d versions instead of 1", len(timeline.versions))
	}
}

func TestSpecsBetween(t *testing.T) {
	timeline, at := timelineOf(t)
	for _, trial := range []struct {
		name        string
		from, until float64
		want        []bool
	}{
		{"before all", -2, -1, nil},
		{"sent and not acknowledged", 0.5, 0.5, []bool{true}},
		{"the closing is on its way", 10.5, 10.5, []bool{true, false}},
		{"within the bound", 12.9, 12.9, []bool{true, false}},
		{"beyond the bound", 13.1, 13.1, []bool{false}},
		{"a span", 12.9, 21, []bool{true, false, true}},
		{"never acknowledged", 60, 60, []bool{false, true}},
	} {
		got := open(timeline.between(at(trial.from), at(trial.until), 2*time.Second), "b")
		if !slices.Equal(got, trial.want) {
			t.Errorf("%s: zone b is open by %v instead of %v", trial.name, got, trial.want)
		}
	}
}

func TestOutdatedFor(t *testing.T) {
	timeline, at := timelineOf(t)
	open := func(catalog *config.Catalog) bool { return catalog.IsOpen("b") }
	for seconds, want := range map[float64]time.Duration{
		5:    0,
		10.5: 0,
		14:   3 * time.Second,
		// The opening has been sent, and so may be in effect.
		21: 0,
	} {
		if got := timeline.outdatedFor(at(seconds), open); got != want {
			t.Errorf("after %v s: %v instead of %v", seconds, got, want)
		}
	}
}
