package placement

import (
	"math/rand"
	"testing"

	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

// newTestDaemons returns three daemons in two zones with a list of runners.
func newTestDaemons(t *testing.T, world *simulation.World, runners ...*wire.Runner) []*daemon {
	t.Helper()
	daemons, err := newDaemons(world.Now, daemonSettings{
		count:   3,
		zones:   []string{"a", "b"},
		listing: runners,
		policy:  "least-loaded",
		budget:  func() *retrybudget.Budget { return retrybudget.New(retrybudget.DefaultSettings, nil) },
	}, rand.New(rand.NewSource(1)))
	if err != nil {
		t.Fatal(err)
	}
	return daemons
}

func testRequest() *scheduler.QueuedRequest {
	return newQueuedRequest("chat", 1, prompt{[]string{"prefix"}, []int{400}}, "m",
		scheduler.Requirements{Value: 1, PromptTokens: 500, Zone: "a"})
}

func TestDaemonsAreGivenToZonesInTurn(t *testing.T) {
	daemons := newTestDaemons(t, simulation.NewWorld(1))
	for number, want := range []string{"a", "b", "a"} {
		if got := daemons[number].zone; got != want {
			t.Errorf("daemon %d: zone %s, want %s", number, got, want)
		}
	}
}

func TestDaemonDeliversEachDecisionOnce(t *testing.T) {
	world := simulation.NewWorld(1)
	daemon := newTestDaemons(t, world,
		&wire.Runner{RunnerId: "r", Zone: "a", Service: runnerService, State: runnerReady})[0]
	var decisions []scheduler.Decision
	request := testRequest()
	daemon.schedule(world.Now, request, func(decision scheduler.Decision) { decisions = append(decisions, decision) })
	daemon.deliverDecisions()
	if len(decisions) != 1 || decisions[0].Kind != scheduler.Dispatch || decisions[0].Runner.ID != "r" {
		t.Fatalf("decisions %+v, want one dispatch to r", decisions)
	}
	if len(daemon.pending) != 0 {
		t.Errorf("%d requests are still pending", len(daemon.pending))
	}
}

// A callback that receives a decision may schedule another request, which must get a decision of its own instead of
// being lost when deliverDecisions stores the list of pending requests.
func TestDaemonTakesRequestsWhileItDelivers(t *testing.T) {
	world := simulation.NewWorld(1)
	daemon := newTestDaemons(t, world,
		&wire.Runner{RunnerId: "r", Zone: "a", Service: runnerService, State: runnerReady})[0]
	delivered := 0
	daemon.schedule(world.Now, testRequest(), func(scheduler.Decision) {
		delivered++
		daemon.schedule(world.Now, testRequest(), func(scheduler.Decision) { delivered++ })
	})
	if delivered != 2 || len(daemon.pending) != 0 {
		t.Errorf("%d decisions delivered, want 2; %d requests pending", delivered, len(daemon.pending))
	}
}
