package simulation

import "testing"

func TestTopologyPaths(t *testing.T) {
	tests := []struct {
		name                                  string
		change                                func(topology *topology, one, other *Host)
		passes, linked, disconnected, severed bool
	}{
		{"whole", func(*topology, *Host, *Host) {}, true, true, false, false},
		{"cut there", func(topology *topology, one, other *Host) {
			topology.Cut(one, other)
		}, false, false, true, true},
		{"cut back", func(topology *topology, one, other *Host) {
			topology.Cut(other, one)
		}, true, false, true, true},
		{"unheard", func(topology *topology, one, other *Host) {
			topology.cutOneWay(one, []*Host{one, other}, true)
		}, false, false, true, true},
		{"deaf", func(topology *topology, one, other *Host) {
			topology.cutOneWay(one, []*Host{one, other}, false)
		}, true, false, true, true},
		{"cut off", func(topology *topology, one, other *Host) {
			topology.CutOff([]*Host{one}, []*Host{other})
		}, false, false, true, true},
		{"powered off", func(_ *topology, _, other *Host) { other.poweredOff = true }, false, false, false, false},
		{"healed", func(topology *topology, one, other *Host) {
			topology.Cut(one, other)
			topology.Heal()
		}, true, true, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			topology, one, other := newTopology(), &Host{Address: "one"}, &Host{Address: "other"}
			test.change(topology, one, other)
			got := []bool{topology.passes(one, other), topology.linked(one, other),
				topology.disconnected(one, other), topology.severed(one)}
			for index, want := range []bool{test.passes, test.linked, test.disconnected, test.severed} {
				if got[index] != want {
					t.Errorf("%s is %v", []string{"passes", "linked", "disconnected", "severed"}[index], got[index])
				}
			}
			if topology.hasCuts() != test.disconnected {
				t.Errorf("hasCuts is %v", topology.hasCuts())
			}
		})
	}
}

func TestTopologyTakesEachChangeOnce(t *testing.T) {
	topology := newTopology()
	if topology.takeChange() {
		t.Error("a new topology has changed")
	}
	topology.Heal()
	if !topology.takeChange() || topology.takeChange() {
		t.Error("a change was not taken exactly once")
	}
}

// A new host is not reached by a mute host and does not reach a deaf one, as all others; a cut link between two other
// hosts does not affect it.
func TestJoinerIsConnectedAsTheOthersAre(t *testing.T) {
	deaf, mute, one, other, joiner := &Host{Address: "deaf"}, &Host{Address: "mute"}, &Host{Address: "one"},
		&Host{Address: "other"}, &Host{Address: "joiner"}
	topology, hosts := newTopology(), []*Host{deaf, mute, one, other, joiner}
	topology.cutOneWay(deaf, hosts[:4], false)
	topology.cutOneWay(mute, hosts[:4], true)
	topology.Cut(one, other)
	topology.join(joiner, hosts)
	for name, test := range map[string]struct {
		from, to *Host
		cut      bool
	}{
		"to the deaf one":   {joiner, deaf, true},
		"from the deaf one": {deaf, joiner, false},
		"to the mute one":   {joiner, mute, false},
		"from the mute one": {mute, joiner, true},
		"to one":            {joiner, one, false},
		"from one":          {one, joiner, false},
		"from the other":    {other, joiner, false},
	} {
		if cut := topology.isCut(test.from, test.to); cut != test.cut {
			t.Errorf("%s: cut %t", name, cut)
		}
	}
}
