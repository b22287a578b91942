package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wardtray/verify/emulator"
	"wardtray/verify/histories"
)

// Runners are the emulated runners of a fleet. There is one in each place, from 0, unless it was removed; each start
// makes a runner with an identity of its own. They are safe for concurrent use.
type Runners struct {
	deployment Deployment
	addresses  addressPlan
	profile    emulator.RunnerProfile
	platform   *emulator.Platform
	history    *histories.History

	mutex sync.Mutex
	// started is every runner that was ever started, present the one in each place, or nil.
	started []*emulator.Runner
	present []*emulator.Runner
	// incarnations is how many identities were given out.
	incarnations int
}

func newRunners(deployment Deployment, platform *emulator.Platform, history *histories.History) *Runners {
	return &Runners{
		deployment: deployment,
		addresses:  addressPlan{deployment.Network},
		profile:    emulator.DefaultProfile,
		platform:   platform,
		history:    history,
		present:    make([]*emulator.Runner, deployment.Runners),
	}
}

// Start starts a runner in a place, at the place's address.
func (runners *Runners) Start(ctx context.Context, place int) error {
	return runners.start(ctx, place, runners.addresses.runner(runners.deployment.zoneOf(place), place))
}

// StartBeside starts a runner in a place at another address, while the one that was there still runs. The caller
// must take that one off the platform's list.
func (runners *Runners) StartBeside(ctx context.Context, place int) error {
	return runners.start(ctx, place, runners.addresses.releasedRunner(runners.deployment.zoneOf(place), place))
}

func (runners *Runners) start(ctx context.Context, place int, address string) error {
	runner, err := runners.launch(ctx, runners.identity(place, address))
	if err != nil {
		return err
	}
	runners.mutex.Lock()
	runners.present[place] = runner
	runners.mutex.Unlock()
	runners.platform.Set(runner, emulator.StateCold)
	time.AfterFunc(runners.profile.ColdTime, func() {
		if runners.At(place) == runner {
			runners.platform.Set(runner, emulator.StateReady)
		}
	})
	return nil
}

// identity returns a new identity for the runner in a place.
func (runners *Runners) identity(place int, address string) emulator.Identity {
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	runners.incarnations++
	mix := runners.deployment.Mix
	return emulator.Identity{
		ID:      fmt.Sprintf("r%02d-%d", place, runners.incarnations),
		Address: address,
		Zone:    runners.deployment.Zones[runners.deployment.zoneOf(place)].Name,
		Service: mix.Service,
		Model:   mix.Model,
		Weights: mix.Weights,
		Backend: mix.Pool,
	}
}

// StartStranger starts a runner of another service at the address of a runner that crashed. It is in no place, and
// the platform does not list it.
func (runners *Runners) StartStranger(ctx context.Context, crashed *emulator.Runner) (*emulator.Runner, error) {
	identity := crashed.Identity
	identity.ID, identity.Service = "stranger", "somebody-elses"
	return runners.launch(ctx, identity)
}

// launch starts a runner that Stop ends.
func (runners *Runners) launch(ctx context.Context, identity emulator.Identity) (*emulator.Runner, error) {
	runner, err := emulator.Start(ctx, identity, runners.profile, runners.history)
	if err != nil {
		return nil, err
	}
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	runners.started = append(runners.started, runner)
	return runner, nil
}

// At returns the runner in a place, or nil.
func (runners *Runners) At(place int) *emulator.Runner {
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	return runners.present[place]
}

// Remove takes the runner in a place off the platform's list and out of its place. It returns nil where there is
// none.
func (runners *Runners) Remove(place int) *emulator.Runner {
	runners.mutex.Lock()
	runner := runners.present[place]
	runners.present[place] = nil
	runners.mutex.Unlock()
	if runner != nil {
		runners.platform.Remove(runner)
	}
	return runner
}

// Crash removes the runner in a place and ends it at once.
func (runners *Runners) Crash(place int) {
	if runner := runners.Remove(place); runner != nil {
		runner.Crash()
	}
}

// Present returns the runners that are in their places.
func (runners *Runners) Present() []*emulator.Runner {
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	var found []*emulator.Runner
	for _, runner := range runners.present {
		if runner != nil {
			found = append(found, runner)
		}
	}
	return found
}

// Stop ends all runners, also those that left their places.
func (runners *Runners) Stop() {
	runners.mutex.Lock()
	started := runners.started
	clear(runners.present)
	runners.mutex.Unlock()
	for _, runner := range started {
		runner.Crash()
	}
}

// Capacity returns how much the runners that are ready and warm can truly do now.
func (runners *Runners) Capacity() histories.CapacitySample {
	sample := histories.CapacitySample{At: time.Now(), Free: map[string]int{}, Slots: map[string]int{}}
	for _, runner := range runners.Present() {
		if !runners.platform.Settled(runner) {
			continue
		}
		free, slots := runner.Capacity()
		sample.Free[runner.Zone] += free
		sample.Slots[runner.Zone] += slots
	}
	return sample
}

// CacheShare returns the part of all prompt tokens that the runners in their places found in their caches.
func (runners *Runners) CacheShare() float64 {
	var cached, prompted int64
	for _, runner := range runners.Present() {
		cachedHere, promptedHere := runner.CacheUse()
		cached += cachedHere
		prompted += promptedHere
	}
	if prompted == 0 {
		return 0
	}
	return float64(cached) / float64(prompted)
}
