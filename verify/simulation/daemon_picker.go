package simulation

import (
	"math/rand"

	"wardtray/verify/emulator"
)

// unevenPart is the part of a zone's clients that are sent to one of its daemons where the load is uneven.
const unevenPart = 0.8

// daemonPicker is how the platform spreads clients over the daemons: by an opinion of them that trails the truth.
type daemonPicker struct {
	world  *World
	random *rand.Rand
	// eligible are the addresses of the daemons that are taken to be ready.
	eligible map[string]bool
	// uneven sends most clients of a zone to one of its daemons.
	uneven bool
}

func newDaemonPicker(world *World, random *rand.Rand) *daemonPicker {
	return &daemonPicker{world: world, random: random, eligible: map[string]bool{}}
}

// update takes the platform's opinion of the daemons, now and again and again.
func (picker *daemonPicker) update() {
	for _, host := range picker.world.Datas() {
		picker.eligible[host.Address] = host.up && !host.frozen && host.daemon.plane.Ready()
	}
	picker.world.After(emulator.ListLag, picker.update)
}

// pick returns a daemon that the platform takes to be fit, in the client's zone if there is one.
func (picker *daemonPicker) pick(zone string) *Host {
	var near, far []*Host
	for _, host := range picker.world.Datas() {
		if picker.eligible[host.Address] && host.Zone == zone {
			near = append(near, host)
		}
		if picker.eligible[host.Address] && host.Zone != zone {
			far = append(far, host)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	if picker.uneven && picker.random.Float64() < unevenPart {
		return near[0]
	}
	return near[picker.random.Intn(len(near))]
}
