package dataplane

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"wardtray/balancer/load"
	"wardtray/features"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
	"wardtray/wire"
)

var started = time.Unix(1_700_000_000, 0)

// newTestProber returns a prober with one listed runner that refuses connections, the number of dials, and the
// functions that the prober has started as goroutines. These do not run by themselves.
func newTestProber(daemons int) (tested *prober, dials *int, work *[]func()) {
	dials, work = new(int), new([]func())
	environment := netio.Environment{
		Now: func() time.Time { return started },
		Go:  func(do func()) { *work = append(*work, do) },
		Dial: func(_ context.Context, _ string, _ netio.Timeouts) (netio.Conn, error) {
			*dials++
			return nil, errors.New("connection refused")
		},
	}
	loads := load.NewTable(started.Add(-time.Minute), "d0")
	loads.UpdateListing(started.Add(-time.Minute), []*wire.Runner{{RunnerId: "r", Address: "x", State: "ready"}})
	return &prober{
		environment: environment,
		loads:       loads,
		connections: connpool.New(environment, "/identity"),
		codec:       codec.Native{},
		disabled:    features.Set{},
		daemons:     func() []string { return make([]string, daemons) },
	}, dials, work
}

// At most one probe of a runner is in progress at a time, and a failed probe calls the function given for that.
func TestProbesDoNotOverlap(t *testing.T) {
	tested, dials, work := newTestProber(1)
	failures := 0
	runner, found := tested.loads.Lookup(started, "r", nil)
	if !found {
		t.Fatal("runner r is not in the load table")
	}
	for range 2 {
		tested.start(runner, reportTimeout, func() { failures++ })
	}
	if len(*work) != 1 {
		t.Fatalf("%d probes are in progress, want 1", len(*work))
	}
	(*work)[0]()
	if *dials != 1 || failures != 1 {
		t.Errorf("%d dials and %d calls on failure, want 1 of each", *dials, failures)
	}
	tested.start(runner, reportTimeout, func() {})
	if len(*work) != 2 {
		t.Error("no probe was started after the first one had ended")
	}
}

// Runners with an outdated report are probed, unless the feature LoadReports is disabled.
func TestProbeStale(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		tested, _, work := newTestProber(1)
		tested.disabled[features.LoadReports] = disabled
		tested.probeStale()
		if probed := len(*work) > 0; probed == disabled {
			t.Errorf("LoadReports disabled %v: probed %v", disabled, probed)
		}
	}
}

// freshCodec is a codec whose reports are fresh for one second.
type freshCodec struct{ codec.Native }

func (freshCodec) ReportTTL() time.Duration { return time.Second }

// Beyond smallFleet daemons the freshness of reports grows in proportion to the number of daemons.
func TestFreshnessGrowsWithTheFleet(t *testing.T) {
	for daemons, want := range map[int]time.Duration{1: 1, smallFleet: 1, 3 * smallFleet: 3} {
		tested, _, _ := newTestProber(daemons)
		tested.codec = freshCodec{}
		if found := tested.freshness(); found != want*time.Second {
			t.Errorf("%d daemons: %v instead of %v s", daemons, found, int64(want))
		}
	}
}

// newDialingProber returns a prober that dials real connections, by a clock that the test sets.
func newDialingProber(now *time.Time, identityPath string) *prober {
	tested, _, _ := newTestProber(1)
	tested.environment = netio.Real(nil)
	tested.environment.Now = func() time.Time { return *now }
	tested.connections = connpool.New(tested.environment, identityPath)
	return tested
}

// listen opens a free port of the loopback interface until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // A test may have closed it before.
	return listener
}

// resetAfterFirst accepts the first connection to a listener and resets all later ones, as a runner does that has no
// connection to spare. It returns the runner's end of the first one.
func resetAfterFirst(t *testing.T, listener net.Listener) (first <-chan net.Conn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	go func() {
		for number := 0; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if number == 0 {
				accepted <- connection
				continue
			}
			if tcp, isTCP := connection.(*net.TCPConn); isTCP {
				_ = tcp.SetLinger(0) // Without it the close would be orderly, which the probe sees as a failure too.
			}
			_ = connection.Close()
		}
	}()
	return accepted
}

// Guards against streams that end because their runner is silent and resets the connections of probes: a busy runner
// does both while it works on its requests. Failed probes must leave every connection in use open, also of a runner
// that is no longer listed, whatever their number.
func TestFailedProbesEndNoRequest(t *testing.T) {
	for name, listed := range map[string][]*wire.Runner{
		"listed":   {{RunnerId: "r", Address: "x", State: "ready"}},
		"unlisted": nil,
	} {
		listener := listen(t)
		now := time.Now()
		tested := newDialingProber(&now, "")
		tested.loads.RequestStarted("r")
		tested.loads.UpdateListing(now, listed)
		accepted := resetAfterFirst(t, listener)
		inUse, err := tested.connections.Take("r", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = inUse.Close() })
		inUse.RequestSent()
		runnerEnd := <-accepted
		t.Cleanup(func() { _ = runnerEnd.Close() })
		for range 5 {
			now = now.Add(time.Minute)
			if tested.probe(load.Runner{ID: "r", Address: listener.Addr().String()}, time.Second) {
				t.Fatalf("%s: a probe whose connection was reset counts as successful", name)
			}
		}
		if _, err := runnerEnd.Write([]byte("x")); err != nil {
			t.Errorf("%s: the connection in use was closed: %v", name, err)
			continue
		}
		_ = inUse.SetReadDeadline(time.Now().Add(10 * time.Second))
		if received, err := inUse.Reader.ReadByte(); err != nil || received != 'x' {
			t.Errorf("%s: the connection in use was closed: %v", name, err)
		}
	}
}

// Guards against requests that wait in vain for a runner that has terminated. Another runner answers at its address,
// which shows this for certain: the connection of the waiting request must be closed.
func TestReplacedRunnerEndsItsRequests(t *testing.T) {
	listener := listen(t)
	identity := "r"
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
				continue
			}
			document := `{"runner_id":"` + identity + `"}`
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(document), document)
			identity = "another"
		}
	}()
	now := time.Now()
	tested := newDialingProber(&now, "/identity")
	inUse, err := tested.connections.Take("r", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inUse.Close() })
	inUse.RequestSent()
	now = now.Add(time.Minute)
	if tested.probe(load.Runner{ID: "r", Address: listener.Addr().String()}, time.Second) {
		t.Fatal("the probe counts as successful although another runner has answered it")
	}
	if _, err := inUse.Write([]byte("x")); err == nil {
		t.Error("the connection to the terminated runner is still open")
	}
}
