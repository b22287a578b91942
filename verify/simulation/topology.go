package simulation

// link is one direction between two hosts, by their addresses.
type link struct{ from, to string }

// topology records which hosts' machines reach each other: all do, except over a link that is cut or with a machine
// that is powered off.
type topology struct {
	cuts map[link]bool
	// dirty means that the topology has changed since takeChange was last called.
	dirty bool
}

func newTopology() *topology { return &topology{cuts: map[link]bool{}} }

// hasCuts reports whether any link is cut.
func (topology *topology) hasCuts() bool { return len(topology.cuts) > 0 }

// isCut reports whether the link from one host to another is cut.
func (topology *topology) isCut(from, to *Host) bool {
	return topology.cuts[link{from.Address, to.Address}]
}

// Cut cuts the link from one host to another.
func (topology *topology) Cut(from, to *Host) {
	topology.cuts[link{from.Address, to.Address}] = true
	topology.changed()
}

// CutOff cuts all links between two groups, in both directions.
func (topology *topology) CutOff(left, right []*Host) {
	for _, one := range left {
		for _, other := range right {
			topology.Cut(one, other)
			topology.Cut(other, one)
		}
	}
}

// Heal ends all cuts.
func (topology *topology) Heal() {
	topology.cuts = map[link]bool{}
	topology.changed()
}

// passes reports whether messages pass from one host's machine to another's now.
func (topology *topology) passes(from, to *Host) bool {
	return !topology.isCut(from, to) && !from.poweredOff && !to.poweredOff
}

// linked reports whether there is a path both ways between two machines.
func (topology *topology) linked(one, other *Host) bool {
	return topology.passes(one, other) && topology.passes(other, one)
}

// disconnected reports whether the link between two hosts is cut in either direction.
func (topology *topology) disconnected(one, other *Host) bool {
	return topology.isCut(one, other) || topology.isCut(other, one)
}

// severed reports whether any link of a host is cut.
func (topology *topology) severed(host *Host) bool {
	for cut := range topology.cuts {
		if cut.from == host.Address || cut.to == host.Address {
			return true
		}
	}
	return false
}

// changed records that links, machines or processes have changed.
func (topology *topology) changed() { topology.dirty = true }

// cutOneWay cuts one direction between a host and the others: from the host if unheard, to it otherwise.
func (topology *topology) cutOneWay(host *Host, others []*Host, unheard bool) {
	for _, other := range without(others, host) {
		if unheard {
			topology.Cut(host, other)
		} else {
			topology.Cut(other, host)
		}
	}
}

// join applies the present cuts to a new host: it does not reach a host that none of the others reaches, and is not
// reached by a host that reaches none of them.
func (topology *topology) join(joiner *Host, others []*Host) {
	present := without(others, joiner)
	for _, host := range present {
		if topology.allCut(without(present, host), func(other *Host) bool { return topology.isCut(other, host) }) {
			topology.Cut(joiner, host)
		}
		if topology.allCut(without(present, host), func(other *Host) bool { return topology.isCut(host, other) }) {
			topology.Cut(host, joiner)
		}
	}
}

// allCut reports whether there are hosts, and the link to each of those that were not removed is cut.
func (topology *topology) allCut(hosts []*Host, isCut func(host *Host) bool) bool {
	for _, host := range hosts {
		if !host.removed && !isCut(host) {
			return false
		}
	}
	return len(hosts) > 0
}

// takeChange reports whether the topology has changed since the last call.
func (topology *topology) takeChange() bool {
	changed := topology.dirty
	topology.dirty = false
	return changed
}
