package simulation

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wardtray/proxy/admission"
	"wardtray/transport/netio"
)

// exchange is the answer to a request to a runner.
type exchange struct {
	status int
	body   string
	took   time.Duration
	over   bool
}

// runAt sends a request for an answer of 48 tokens from a daemon's host to a runner, and reads the response to its end.
func runAt(world *World, daemon, runner *Host) *exchange {
	result := &exchange{}
	world.coroutines.spawn(daemon, func() {
		sent := world.Now
		defer func() { result.took, result.over = world.Now.Sub(sent), true }()
		conn, err := world.network.dial(context.Background(), daemon, runner.Address,
			netio.Timeouts{Dial: time.Second})
		if err != nil {
			return
		}
		if _, err = fmt.Fprintf(conn, "POST /run HTTP/1.1\r\nHost: sim\r\nContent-Length: 0\r\n%s: 100\r\n%s: 48\r\n\r\n",
			admission.HeaderPromptTokens, admission.HeaderAnswerTokens); err != nil {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		result.status = response.StatusCode
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			result.body += scanner.Text() + "\n"
		}
	})
	return result
}

// runThroughViolations runs a world without stopping at violations: requests that no daemon scheduled break the rules.
func runThroughViolations(world *World, length time.Duration) {
	world.run(length, neverHalt, func() {})
}

func TestRunnersMisbehaveAsTheyAreTold(t *testing.T) {
	t.Parallel()
	const complete = "event: done\n"
	tests := []struct {
		name     string
		behavior faultyBehavior
		status   int
		want     string
		ended    bool
	}{
		{"sound", faultyBehavior{}, http.StatusOK, "id: 4\nevent: token\n", true},
		{"partial", faultyBehavior{partial: true}, http.StatusOK, "id: 2\nevent: token\n", false},
		{"rejects", faultyBehavior{rejects: true}, http.StatusServiceUnavailable, `"started":false`, false},
		{"fails", faultyBehavior{fails: true}, http.StatusInternalServerError, "", false},
		{"skips an event", faultyBehavior{corruption: skipsEvent}, http.StatusOK, "id: 4\nevent: token\n", false},
		{"repeats an event", faultyBehavior{corruption: repeatsEvent}, http.StatusOK, "id: 2\nevent: token\n", false},
		{"counts wrongly", faultyBehavior{corruption: countsWrongly}, http.StatusOK, `"events":7`, true},
		{"unknown event", faultyBehavior{corruption: unknownEvent}, http.StatusOK, "event: other\n", false},
		{"unnumbered event", faultyBehavior{corruption: unnumberedEvent}, http.StatusOK, "id: x\n", false},
		{"unresponsive", faultyBehavior{unresponsive: true}, 0, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := settledFleetWithTraffic(t)
			runner := world.Runners()[0]
			runner.runner.engine.faultyBehavior = test.behavior
			result := runAt(world, world.Daemons()[0], runner)
			runThroughViolations(world, 10*time.Second)
			if result.over == test.behavior.unresponsive {
				t.Fatalf("over %v", result.over)
			}
			if result.status != test.status || !strings.Contains(result.body, test.want) ||
				strings.Contains(result.body, complete) != test.ended {
				t.Errorf("status %d, body\n%s", result.status, result.body)
			}
			if test.behavior.servesRequests() != (test.name == "sound") {
				t.Errorf("serves requests: %v", test.behavior.servesRequests())
			}
		})
	}
}

func TestSlowAndLateRunnersTakeLonger(t *testing.T) {
	t.Parallel()
	took := map[string]time.Duration{}
	for name, change := range map[string]func(behavior *faultyBehavior, on bool){
		"sound": func(*faultyBehavior, bool) {}, "slow": (*faultyBehavior).setSlow, "late": (*faultyBehavior).setLate,
	} {
		world := settledFleetWithTraffic(t)
		runner := world.Runners()[0]
		change(&runner.runner.engine.faultyBehavior, true)
		result := runAt(world, world.Daemons()[0], runner)
		runThroughViolations(world, time.Minute)
		if result.status != http.StatusOK {
			t.Fatalf("%s: status %d", name, result.status)
		}
		took[name] = result.took
		change(&runner.runner.engine.faultyBehavior, false)
		if !runner.runner.engine.servesRequests() {
			t.Errorf("%s: not healthy again", name)
		}
	}
	if took["slow"] < 4*took["sound"] || took["late"] < took["sound"]+lateAnswer/2 {
		t.Errorf("the answers took %v", took)
	}
}

func TestEngineSlotsAreHandedOverInOrder(t *testing.T) {
	host := runningHost(t)
	world := host.world
	slots := &engineSlots{coroutines: world.coroutines, limit: 1}
	var happened []string
	use := func(name string, connection *conn) {
		world.coroutines.spawn(host, func() {
			if !slots.acquire(connection) {
				happened = append(happened, name+" cancelled")
				return
			}
			happened = append(happened, name)
			world.coroutines.sleep(time.Second)
			slots.release()
		})
		world.Run(time.Millisecond)
	}
	reset := &conn{}
	use("first", &conn{})
	use("second", reset)
	use("third", &conn{})
	reset.err = errReset
	world.coroutines.wake(host.coroutines[1])
	world.Run(5 * time.Second)
	if want := []string{"first", "second cancelled", "third"}; !slices.Equal(happened, want) {
		t.Errorf("events %v, want %v", happened, want)
	}
	if slots.used != 0 || len(slots.waiting) != 0 {
		t.Errorf("%d slots used, %d waiting in the end", slots.used, len(slots.waiting))
	}
}
