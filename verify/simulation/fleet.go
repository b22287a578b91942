package simulation

// fleet holds all hosts that were ever added, in order of their addition.
type fleet struct {
	Hosts  []*Host
	byName map[string]*Host
}

func newFleet() *fleet { return &fleet{byName: map[string]*Host{}} }

// insert adds a host. A host with the address of an earlier host replaces the earlier one only in byName.
func (fleet *fleet) insert(host *Host) {
	fleet.Hosts = append(fleet.Hosts, host)
	fleet.byName[host.Address] = host
}

// Cores returns the control machines that were not removed permanently.
func (fleet *fleet) Cores() []*Host {
	return fleet.filter(func(host *Host) bool { return host.core != nil && !host.removed })
}

// Daemons returns the data daemons that were not removed permanently.
func (fleet *fleet) Daemons() []*Host {
	return fleet.filter(func(host *Host) bool { return host.daemon != nil && !host.removed })
}

// Runners returns the runners' hosts.
func (fleet *fleet) Runners() []*Host {
	return fleet.filter(func(host *Host) bool { return host.runner != nil })
}

func (fleet *fleet) filter(matches func(host *Host) bool) []*Host {
	var hosts []*Host
	for _, host := range fleet.Hosts {
		if matches(host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// zone returns the hosts in a zone and those outside it.
func (fleet *fleet) zone(zone string) (inside, outside []*Host) {
	for _, host := range fleet.Hosts {
		if host.Zone == zone {
			inside = append(inside, host)
		} else {
			outside = append(outside, host)
		}
	}
	return inside, outside
}
