package simulation

import (
	"strings"
	"testing"
	"time"
)

func TestClientExchangeReportsAnAnswerThatIsHeldBack(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"at once": 0, "held back": 10 * answerBound} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := settledFleetWithTraffic(t)
			traffic, host := world.Traffic, world.Daemons()[0]
			waiting := traffic.newClient(traffic.Mix.Draw(traffic.random, 0), host.Zone)
			waiting.host, waiting.incarnation = host, host.incarnation
			world.coroutines.spawn(host, func() {
				world.coroutines.current.decidedAt = world.Now
				world.coroutines.sleep(delay)
				waiting.exchange.Respond(503, nil, []byte("{}"))
			})
			world.Run(time.Second)
			violations := strings.Join(world.Check.Violations, "; ")
			if reported := strings.Contains(violations, "held-back:"); reported != (delay > 0) {
				t.Errorf("violations %q", violations)
			}
		})
	}
}

func TestClientExchangeEndsWhenItsClientHangsUp(t *testing.T) {
	t.Parallel()
	world := settledFleetWithTraffic(t)
	host := world.Daemons()[0]
	leaving := request(world, host)
	leaving.disconnectsAfter = 2
	world.Run(30 * time.Second)
	record := leaving.record
	if !record.ClientDisconnected || record.DisconnectedAt.IsZero() || record.Done || len(record.IDs) != 2 {
		t.Errorf("disconnected %v, done %v, %d events", record.ClientDisconnected, record.Done, len(record.IDs))
	}
	if !leaving.exchange.Disconnected() || !leaving.finished || len(host.daemon.clients) != 0 {
		t.Errorf("disconnected %v, finished %v, %d clients", leaving.exchange.Disconnected(), leaving.finished,
			len(host.daemon.clients))
	}
	if _, err := leaving.exchange.Write([]byte("id: 3\n")); err == nil {
		t.Error("a client that has disconnected accepts events")
	}
	for _, violation := range world.Check.Violations {
		t.Error(violation)
	}
}
