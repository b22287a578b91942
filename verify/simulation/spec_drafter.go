package simulation

import (
	"fmt"
	"math/rand"

	"wardtray/config"
	"wardtray/verify/loadtest"
)

// specDrafter generates the configurations and changes that operators send where there is a request path.
type specDrafter struct {
	random *rand.Rand
	mix    loadtest.Mix
	zones  []string
	// takeAway is the fraction of the configurations and changes that remove something that requests need.
	takeAway float64
	// specs are the complete configurations by operation, for the checker of the history.
	specs map[string]*config.Spec
}

func newSpecDrafter(random *rand.Rand, mix loadtest.Mix, zones []string) *specDrafter {
	return &specDrafter{random: random, mix: mix, zones: zones, specs: map[string]*config.Spec{}}
}

// spec returns a configuration for an operator to send, distinguished by its number. A fraction takeAway of them
// removes something that requests may be waiting for: a route, a zone, the service or the weights.
func (drafter *specDrafter) spec(number int) *config.Spec {
	spec := drafter.mix.Spec(drafter.zones, fmt.Sprintf("marker-%d", number))
	removals := map[int]func(){
		0: func() { spec.Routes = spec.Routes[1:] },
		1: func() { spec.Zones[drafter.random.Intn(len(spec.Zones))].Closed = true },
		2: func() { spec.Backends[0].Services = []string{"another-service"} },
		3: func() { spec.Backends[0].Weights = "other-weights" },
	}
	if drafter.random.Float64() < drafter.takeAway {
		removals[drafter.random.Intn(len(removals))]()
	}
	return spec
}

// draft returns an encoded configuration and keeps it for the checker of the history.
func (drafter *specDrafter) draft(operation string, number int) []byte {
	spec := drafter.spec(number)
	drafter.specs[operation] = spec
	return spec.Encode()
}

// draftChange returns a change of named entries: it restores whatever an earlier configuration removed, or removes
// something itself.
func (drafter *specDrafter) draftChange(number int) *config.Change {
	spec := drafter.mix.Spec(drafter.zones, fmt.Sprintf("marker-%d", number))
	change := &config.Change{Upsert: config.Entries{Zones: spec.Zones, Backends: spec.Backends, Routes: spec.Routes}}
	if drafter.random.Float64() >= drafter.takeAway {
		return change
	}
	removals := []func(){
		func() { change.Remove.Routes, change.Upsert.Routes = []string{spec.Routes[0].Name}, spec.Routes[1:] },
		func() {
			change.Upsert = config.Entries{
				Zones: []config.Zone{{Name: spec.Zones[drafter.random.Intn(len(spec.Zones))].Name, Closed: true}},
			}
		},
		func() { change.Upsert.Backends[0].Services = []string{"another-service"} },
	}
	removals[drafter.random.Intn(len(removals))]()
	return change
}
