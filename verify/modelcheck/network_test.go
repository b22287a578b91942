package modelcheck

import (
	"slices"
	"testing"
)

func TestNetworkCutsGroupsAndLinks(t *testing.T) {
	tests := []struct {
		subject, one, other string
		disconnected        bool
	}{
		{"a", "a", "b", true},
		{"a", "b", "a", true},
		{"a", "b", "c", false},
		{"a,b", "a", "b", false},
		{"a,b", "b", "c", true},
		{linkName("a", "b"), "a", "b", true},
		{linkName("a", "b"), "b", "a", true},
		{linkName("a", "b"), "a", "c", false},
	}
	for _, test := range tests {
		network := newNetwork()
		network.isolate(test.subject)
		if got := network.disconnected(test.one, test.other); got != test.disconnected {
			t.Errorf("with %s cut off, %s and %s disconnected: %v", test.subject, test.one, test.other, got)
		}
		network.heal()
		if network.isPartitioned() || network.disconnected(test.one, test.other) {
			t.Errorf("%s is still cut off after heal", test.subject)
		}
	}
}

func TestNetworkLosesMessagesOverACut(t *testing.T) {
	network := newNetwork()
	network.inFlight = []message{{from: "a", to: "b", digest: 1}, {from: "b", to: "c", digest: 2}}
	network.delayed = []message{{from: "c", to: "a", digest: 3}, {from: "c", to: "b", digest: 4}}
	network.isolate("a")
	if got := digestsOf(network.inFlight); !slices.Equal(got, []uint64{2}) {
		t.Errorf("in flight: %v, want 2", got)
	}
	if got := digestsOf(network.delayed); !slices.Equal(got, []uint64{4}) {
		t.Errorf("delayed: %v, want 4", got)
	}
}

func TestNetworkTakesOneMessage(t *testing.T) {
	network := newNetwork()
	network.inFlight = []message{{to: "first", digest: 1}, {to: "second", digest: 1}, {to: "third", digest: 2}}
	network.delayed = []message{{to: "delayed", digest: 1}}
	before := network.inFlight
	if taken := network.take(Deliver, 1); taken.to != "first" {
		t.Errorf("took the message in flight to %s, want that to first", taken.to)
	}
	if got := digestsOf(network.inFlight); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("in flight: %v, want 1 and 2", got)
	}
	if before[0].to != "first" {
		t.Error("take changed the earlier slice")
	}
	if taken := network.take(Release, 1); taken.to != "delayed" || len(network.delayed) != 0 {
		t.Errorf("took the delayed message to %s, %d delayed are left, want 0", taken.to, len(network.delayed))
	}
}
