package simulation

import (
	"testing"
	"time"
)

// settledFleetWithTraffic returns a small serving fleet with its request path, without requests of its own.
func settledFleetWithTraffic(t *testing.T) *World {
	t.Helper()
	world := NewDeployment(1, Shape{Zones: []string{"a", "b", "c"}, Machines: []int{1, 1, 1}, Disks: []int{1, 1, 1},
		Mix: GuildPath.Mix})
	t.Cleanup(world.Close)
	world.Run(8 * time.Second)
	newOperators(world, 0).apply(world.Cores()[0])
	world.Run(5 * time.Second)
	return world
}

// request makes a client send a request to a daemon.
func request(world *World, host *Host) *client {
	traffic := world.Traffic
	drawn := traffic.Mix.Draw(traffic.random, 0)
	drawn.ID = "request"
	return traffic.sendRequest(drawn, host.Zone, host)
}

func TestDaemonProcessServesItsClientsToTheEnd(t *testing.T) {
	t.Parallel()
	world := settledFleetWithTraffic(t)
	host := world.Daemons()[0]
	sent := request(world, host)
	world.Run(50 * time.Millisecond)
	if len(host.daemon.clients) != 1 || sent.finished {
		t.Fatalf("%d clients, finished %v", len(host.daemon.clients), sent.finished)
	}
	host.daemon.drainAndRestart()
	incarnation := host.incarnation
	world.Run(time.Minute)
	if !sent.record.Done || len(host.daemon.clients) != 0 {
		t.Errorf("answer %+v, %d clients", sent.record, len(host.daemon.clients))
	}
	if !host.Up() || host.incarnation != incarnation+2 {
		t.Errorf("up %v, incarnation %d after %d", host.Up(), host.incarnation, incarnation)
	}
}

func TestDaemonProcessLosesItsClientsWhenItIsKilled(t *testing.T) {
	t.Parallel()
	world := settledFleetWithTraffic(t)
	host := world.Daemons()[0]
	sent := request(world, host)
	world.Run(50 * time.Millisecond)
	host.Kill()
	if !sent.finished || !sent.record.ConnectionLost || len(host.daemon.clients) != 0 {
		t.Errorf("finished %v, lost %v, %d clients", sent.finished, sent.record.ConnectionLost,
			len(host.daemon.clients))
	}
	if host.daemon.plane != nil || host.daemon.controller != nil {
		t.Error("a daemon that was killed has a controller")
	}
}

func TestDaemonProcessNotesSinceWhenItHoldsItsLease(t *testing.T) {
	t.Parallel()
	world := settledFleetWithTraffic(t)
	host := world.Daemons()[0]
	if !host.daemon.holdsLease() {
		t.Fatal("a daemon that reaches the control machines holds no lease")
	}
	since := host.daemon.leasedSince
	world.Run(5 * time.Second)
	if !host.daemon.leasedSince.Equal(since) {
		t.Errorf("leased since %v, then since %v without a break", since, host.daemon.leasedSince)
	}
	host.Kill()
	world.Run(5 * time.Second)
	host.Boot()
	world.Run(5 * time.Second)
	if !host.daemon.holdsLease() || !host.daemon.leasedSince.After(since.Add(5*time.Second)) {
		t.Errorf("holds a lease %v, since %v, after a restart", host.daemon.holdsLease(), host.daemon.leasedSince)
	}
}
