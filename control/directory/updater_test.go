package directory

import (
	"strings"
	"testing"
	"time"

	"wardtray/control/daemonlease"
	"wardtray/wire"
)

func TestUpdaterTick(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		directory, requesting string
		acceptorsKnow         bool
		after                 time.Duration
		want                  string
	}{
		"a new daemon":                     {"d", "de", true, 0, "de"},
		"the last change is not delivered": {"d", "de", false, 0, ""},
		"nothing to change":                {"d", "d", true, 0, ""},
		"a missing daemon":                 {"df", "d", true, 2 * time.Minute, "d"},
		"the first, while collecting":      {"", "d", true, firstDirectoryDelay - 1, ""},
		"the first":                        {"", "d", true, firstDirectoryDelay, "d"},
	} {
		fixture := newFixture("a", test.directory)
		leases := daemonlease.NewLeases(fixture.chain, fixture.outbox, time.Second, fixture.agent.Current(), 0)
		now := start.Add(test.after)
		request := func(at time.Time) {
			for _, address := range test.requesting {
				leases.HandleRequest(at, string(address), &wire.DaemonLeaseRequest{Sequence: 5})
			}
		}
		request(start)
		request(now)
		if test.acceptorsKnow {
			leases.ObserveAcceptorProgress("a", 5, start)
			leases.ObserveAcceptorProgress("b", 5, start)
		}
		updater := NewUpdater(fixture.chain, leases, func() bool { return true })
		updater.Tick(daemonlease.DeliveryContext{Now: now, Since: start, View: fixture.agent.Current(),
			IsGrowing: func() bool { return false }})
		var addresses []string
		if pending := fixture.chain.Pending(); len(pending) > 0 {
			for _, member := range pending[0].Directory {
				addresses = append(addresses, member.Address)
			}
		}
		if got := strings.Join(addresses, ""); got != test.want {
			t.Errorf("%s: submitted directory %q, want %q", name, got, test.want)
		}
	}
}
