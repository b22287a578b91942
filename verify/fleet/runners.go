package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wardtray/verify/emulator"
	"wardtray/verify/histories"
)

// Runners manages the emulated runners of a fleet. Each index from 0 has a runner unless it was removed. Each start
// creates a runner with a new identity. Runners is safe for concurrent use.
type Runners struct {
	deployment Deployment
	addresses  addressPlan
	profile    emulator.RunnerProfile
	platform   *emulator.Platform
	history    *histories.History

	mutex sync.Mutex
	// started holds every runner ever started; current holds the runner at each index, or nil.
	started []*emulator.Runner
	current []*emulator.Runner
	// incarnations is the number of identities assigned so far.
	incarnations int
}

func newRunners(deployment Deployment, platform *emulator.Platform, history *histories.History) *Runners {
	return &Runners{
		deployment: deployment,
		addresses:  addressPlan{deployment.Network},
		profile:    emulator.DefaultProfile,
		platform:   platform,
		history:    history,
		current:    make([]*emulator.Runner, deployment.Runners),
	}
}

// Start starts a runner at an index, with the address of that index.
func (runners *Runners) Start(ctx context.Context, index int) error {
	return runners.start(ctx, index, runners.addresses.runner(runners.deployment.zoneOf(index), index))
}

// StartReplacement starts a new runner at an index, with another address, while the previous one still runs. The caller
// must remove the previous one from the platform's list.
func (runners *Runners) StartReplacement(ctx context.Context, index int) error {
	return runners.start(ctx, index, runners.addresses.replacementRunner(runners.deployment.zoneOf(index), index))
}

func (runners *Runners) start(ctx context.Context, index int, address string) error {
	runner, err := runners.launch(ctx, runners.identity(index, address))
	if err != nil {
		return err
	}
	runners.mutex.Lock()
	runners.current[index] = runner
	runners.mutex.Unlock()
	runners.platform.Set(runner, emulator.StateCold)
	time.AfterFunc(runners.profile.WarmUpTime, func() {
		if runners.At(index) == runner {
			runners.platform.Set(runner, emulator.StateReady)
		}
	})
	return nil
}

// identity returns a new identity for the runner at an index.
func (runners *Runners) identity(index int, address string) emulator.Identity {
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	runners.incarnations++
	mix := runners.deployment.Mix
	return emulator.Identity{
		ID:      fmt.Sprintf("r%02d-%d", index, runners.incarnations),
		Address: address,
		Zone:    runners.deployment.Zones[runners.deployment.zoneOf(index)].Name,
		Service: mix.Service,
		Model:   mix.Model,
		Weights: mix.Weights,
		Backend: mix.Backend,
	}
}

// StartForeign starts a runner of another service at the address of a crashed runner. It has no index, and the platform
// does not list it.
func (runners *Runners) StartForeign(ctx context.Context, crashed *emulator.Runner) (*emulator.Runner, error) {
	identity := crashed.Identity
	identity.ID, identity.Service = "stranger", "somebody-elses"
	return runners.launch(ctx, identity)
}

// launch starts a runner and records it, so that Stop ends it.
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

// At returns the runner at an index, or nil.
func (runners *Runners) At(index int) *emulator.Runner {
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	return runners.current[index]
}

// Remove removes the runner at an index from the platform's list and from its index, and returns it. It returns nil if
// there is none. The runner still runs.
func (runners *Runners) Remove(index int) *emulator.Runner {
	runners.mutex.Lock()
	runner := runners.current[index]
	runners.current[index] = nil
	runners.mutex.Unlock()
	if runner != nil {
		runners.platform.Remove(runner)
	}
	return runner
}

// Crash removes the runner at an index and ends it at once.
func (runners *Runners) Crash(index int) {
	if runner := runners.Remove(index); runner != nil {
		runner.Crash()
	}
}

// Current returns the runners that were not removed, by index.
func (runners *Runners) Current() []*emulator.Runner {
	runners.mutex.Lock()
	defer runners.mutex.Unlock()
	var found []*emulator.Runner
	for _, runner := range runners.current {
		if runner != nil {
			found = append(found, runner)
		}
	}
	return found
}

// Stop ends all runners, including those that were removed.
func (runners *Runners) Stop() {
	runners.mutex.Lock()
	started := runners.started
	clear(runners.current)
	runners.mutex.Unlock()
	for _, runner := range started {
		runner.Crash()
	}
}

// Capacity returns the actual free and total slots by zone of the runners that are ready and warm.
func (runners *Runners) Capacity() histories.CapacitySample {
	sample := histories.CapacitySample{At: time.Now(), Free: map[string]int{}, Slots: map[string]int{}}
	for _, runner := range runners.Current() {
		if !runners.platform.IsPastSlowStart(runner) {
			continue
		}
		free, slots := runner.Capacity()
		sample.Free[runner.Zone] += free
		sample.Slots[runner.Zone] += slots
	}
	return sample
}

// CacheShare returns the fraction of all prompt tokens that the current runners found in their caches.
func (runners *Runners) CacheShare() float64 {
	var cached, prompted int64
	for _, runner := range runners.Current() {
		cachedHere, promptedHere := runner.CacheUse()
		cached += cachedHere
		prompted += promptedHere
	}
	if prompted == 0 {
		return 0
	}
	return float64(cached) / float64(prompted)
}
