package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"wardtray/dataplane"
	"wardtray/verify/emulator"
	"wardtray/verify/histories"
	"wardtray/wire"
)

// platform simulates the platform's list of runners. The list that it serves lags behind and may be wrong.
type platform struct {
	world        *World
	actual       []*wire.Runner
	listed       []*wire.Runner
	previous     [][]*wire.Runner
	removedAt    map[string]time.Time
	incarnations int
	// unreachable fails all reads of the list, empty serves an empty one, frozen keeps serving the present one, and
	// truncated leaves out half of it. outdated serves an older list.
	unreachable, empty, frozen, truncated bool
	outdated                              bool
}

// fill lists the given number of runners.
func (platform *platform) fill(count int) {
	platform.removedAt = map[string]time.Time{}
	for range count {
		platform.add()
	}
}

func (platform *platform) add() {
	platform.incarnations++
	platform.listed = append(
		platform.listed,
		&wire.Runner{
			RunnerId: fmt.Sprintf("r%d", platform.incarnations),
			Address:  "x",
			Zone:     "a",
			Service:  "s",
			State:    "ready",
		},
	)
}

// replace removes a random runner and lists a new one.
func (platform *platform) replace(random *rand.Rand) {
	index := random.Intn(len(platform.listed))
	platform.removedAt[platform.listed[index].RunnerId] = platform.world.Now
	remaining := append([]*wire.Runner{}, platform.listed[:index]...)
	platform.listed = append(remaining, platform.listed[index+1:]...)
	platform.add()
}

func (platform *platform) poll(host *Host, incarnation int) {
	content, read := platform.served(), !platform.unreachable
	world := platform.world
	world.After(5*time.Millisecond, func() {
		host.runInProcess(incarnation, func() { host.daemon.plane.OnPolled(content, read) })
	})
}

// served returns the list in the platform's encoding.
func (platform *platform) served() []byte {
	listed := []dataplane.ListedRunner{}
	for _, runner := range platform.listed {
		listed = append(
			listed,
			dataplane.ListedRunner{
				RunnerID: runner.RunnerId,
				Address:  runner.Address,
				Zone:     runner.Zone,
				Service:  runner.Service,
				State:    runner.State,
			},
		)
	}
	if platform.empty {
		listed = listed[:0]
	}
	content, err := json.Marshal(listed)
	if err != nil {
		panic(err)
	}
	return content
}

// set changes a runner's true state; an empty state removes it.
func (platform *platform) set(host *Host, state string) {
	remaining := make([]*wire.Runner, 0, len(platform.actual)+1)
	for _, runner := range platform.actual {
		if runner.Address != host.Address {
			remaining = append(remaining, runner)
		}
	}
	if state != "" {
		remaining = append(
			remaining,
			&wire.Runner{
				RunnerId: host.runner.engine.id,
				Address:  host.Address,
				Zone:     host.Zone,
				Service:  host.runner.engine.service,
				State:    state,
			},
		)
	}
	platform.actual = remaining
}

// publish updates the served list to the true one, records the runners that drain, and schedules the next update.
func (platform *platform) publish() {
	served := append([]*wire.Runner{}, platform.actual...)
	if platform.truncated {
		served = served[:len(served)/2]
	}
	if platform.outdated && len(platform.previous) > 0 {
		served = platform.previous[0]
	}
	if !platform.frozen && !platform.unreachable && len(served) > 0 && !platform.empty {
		platform.recordDrains(platform.listed, served)
		platform.previous = append(platform.previous, platform.listed)
		if len(platform.previous) > 8 {
			platform.previous = platform.previous[1:]
		}
		platform.listed = served
	}
	platform.world.After(emulator.UpdateInterval, platform.publish)
}

// recordDrains records the runners that began to drain, or were removed, between two lists, and those that are back.
func (platform *platform) recordDrains(before, now []*wire.Runner) {
	record := platform.world.Traffic.History
	going, listed := map[string]bool{}, map[string]string{}
	for _, runner := range now {
		going[runner.RunnerId], listed[runner.RunnerId] = runner.State != "draining", runner.State
	}
	for _, leave := range record.Drains {
		if going[leave.Runner] && leave.Back.IsZero() && !leave.Drained {
			leave.Back = platform.world.Now
		}
	}
	for _, runner := range before {
		if runner.State == "draining" || going[runner.RunnerId] {
			continue
		}
		record.Drains = append(
			record.Drains,
			&histories.Drain{
				At:      platform.world.Now,
				Runner:  runner.RunnerId,
				Drained: listed[runner.RunnerId] == "draining",
			},
		)
	}
}

// delist removes a dead runner after delistingDelay, unless it has been started again.
func (platform *platform) delist(host *Host) {
	incarnation := host.incarnation
	platform.world.After(delistingDelay, func() {
		if !host.up && host.incarnation == incarnation {
			platform.set(host, "")
		}
	})
}

// delistAfterwards removes one incarnation of a runner after delistingDelay, whether it runs or not.
func (platform *platform) delistAfterwards(host *Host, incarnation int) {
	platform.world.After(delistingDelay, func() {
		if host.incarnation == incarnation {
			platform.set(host, "")
		}
	})
}

// relist lists one incarnation of a runner as ready again, if it still runs.
func (platform *platform) relist(host *Host, incarnation int) {
	if host.incarnation == incarnation && host.up {
		platform.set(host, "ready")
	}
}
