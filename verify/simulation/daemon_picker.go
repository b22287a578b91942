package simulation

import (
	"math/rand"

	"wardtray/verify/emulator"
)

// unevenShare is the fraction of a zone's clients that are sent to one of its daemons while the load is uneven.
const unevenShare = 0.8

// daemonPicker is the platform's load balancer: it distributes clients over the daemons by readiness information that
// lags behind.
type daemonPicker struct {
	world  *World
	random *rand.Rand
	// eligible are the addresses of the daemons that the platform considers ready.
	eligible map[string]bool
	// uneven sends most clients of a zone to one of its daemons.
	uneven bool
}

func newDaemonPicker(world *World, random *rand.Rand) *daemonPicker {
	return &daemonPicker{world: world, random: random, eligible: map[string]bool{}}
}

// update refreshes the platform's view of the daemons' readiness and schedules the next update.
func (picker *daemonPicker) update() {
	for _, host := range picker.world.Daemons() {
		picker.eligible[host.Address] = host.up && !host.frozen && host.daemon.plane.Ready()
	}
	picker.world.After(emulator.UpdateInterval, picker.update)
}

// pick returns a random eligible daemon, of the client's zone if it has any; nil if none is eligible.
func (picker *daemonPicker) pick(zone string) *Host {
	var near, far []*Host
	for _, host := range picker.world.Daemons() {
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
	if picker.uneven && picker.random.Float64() < unevenShare {
		return near[0]
	}
	return near[picker.random.Intn(len(near))]
}
