package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"wardtray/dataplane"
	"wardtray/wire"
)

// fill lists so many runners.
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

// replace takes one runner off and lists another.
func (platform *platform) replace(random *rand.Rand) {
	index := random.Intn(len(platform.listed))
	platform.removedAt[platform.listed[index].RunnerId] = platform.world.Now
	kept := append([]*wire.Runner{}, platform.listed[:index]...)
	platform.listed = append(kept, platform.listed[index+1:]...)
	platform.add()
}

func (platform *platform) poll(host *Host, incarnation int) {
	content, read := platform.served(), !platform.unreachable
	world := platform.world
	world.After(5*time.Millisecond, func() {
		world.on(host, incarnation, func() { host.plane.Listed(content, read) })
	})
}

// served is the list as the platform gives it now.
func (platform *platform) served() []byte {
	lines := []dataplane.ListedRunner{}
	for _, runner := range platform.listed {
		lines = append(
			lines,
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
		lines = lines[:0]
	}
	content, err := json.Marshal(lines)
	if err != nil {
		panic(err)
	}
	return content
}
