package dataplane

import (
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"testing"
	"time"

	"wardtray/config"
	"wardtray/coordination/statemachine"
	"wardtray/dataplane/controller"
	"wardtray/transport/netio"
	"wardtray/wire"
)

// newTestPlane returns a plane that discards its messages, and a function that advances its clock.
func newTestPlane(t *testing.T) (plane *Plane, advance func(duration time.Duration)) {
	t.Helper()
	now := started
	plane, err := New(netio.Environment{Now: func() time.Time { return now }}, Settings{
		Settings: controller.Settings{Address: "d0", Zone: "a"},
		Random:   rand.New(rand.NewSource(1)),
		Send:     func([]statemachine.Message) {},
		Poll:     func() {},
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return plane, func(duration time.Duration) { now = now.Add(duration) }
}

// A draining daemon must not stop before the drain time has passed, in which the platform and its clients notice, nor
// while any request is in flight.
func TestDrainedAwaitsTimeAndRequests(t *testing.T) {
	const length = 2 * time.Second
	for _, test := range []struct {
		name     string
		elapsed  time.Duration
		inFlight int64
		drained  bool
	}{
		{"idle, too soon", length - 1, 0, false},
		{"idle, in time", length, 0, true},
		{"busy, too soon", length - 1, 1, false},
		{"busy, in time", length, 1, false},
		{"busy, long after", time.Hour, 1, false},
		{"many in flight", time.Hour, 500, false},
	} {
		plane, advance := newTestPlane(t)
		plane.Drain()
		advance(test.elapsed)
		plane.Handler.InFlight.Store(test.inFlight)
		if drained := plane.Drained(length); drained != test.drained {
			t.Errorf("%s: drained %v with %d requests in flight", test.name, drained, test.inFlight)
		}
	}
}

// A runner is a candidate of a backend only if its service is allowed for the backend and its zone is open.
func TestCandidatesArePermittedByTheConfiguration(t *testing.T) {
	plane, _ := newTestPlane(t)
	plane.Handler.Loads.UpdateListing(started, []*wire.Runner{
		{RunnerId: "open", Address: "x:1", Zone: "a", Service: "s", State: "ready"},
		{RunnerId: "closed", Address: "x:2", Zone: "b", Service: "s", State: "ready"},
		{RunnerId: "foreign", Address: "x:3", Zone: "a", Service: "t", State: "ready"},
	})
	spec, err := config.Parse([]byte(`{"zones":[{"name":"a","closed":false},{"name":"b","closed":true}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":1,"repeatable":false}]}`))
	if err != nil {
		t.Fatal(err)
	}
	plane.snapshot.Store(&config.Snapshot{
		SpecEpoch: 1, Catalog: config.NewCatalog(spec), ExpiresAt: started.Add(time.Hour)})
	runners := plane.candidates("p")(started).Runners
	candidates := make([]string, 0, len(runners))
	for _, runner := range runners {
		candidates = append(candidates, runner.ID)
	}
	if !slices.Equal(candidates, []string{"open"}) {
		t.Errorf("candidates %q, want only the runner in the open zone", candidates)
	}
}
