package placement

import (
	"math"
	"time"

	"wardtray/wire"
)

// scheduleFaults plans what goes wrong in the middle third.
func (fleet *fleet) scheduleFaults() {
	play := fleet.play
	from, length := play.Length/3, play.Length/3
	fleet.world.After(from, func() {
		for _, batch := range fleet.draw(play.Slow) {
			batch.slow = 3
			fleet.world.After(length, func() { batch.slow = 1 })
		}
		for _, batch := range fleet.draw(play.Crash) {
			fleet.crash(batch, length)
		}
	})
	parts := time.Duration(1 + int(play.Release*float64(len(fleet.list))))
	for place, batch := range fleet.draw(play.Release) {
		fleet.world.After(time.Duration(place+1)*play.Length/parts, func() { fleet.replace(batch) })
	}
}

// draw returns a share of the runners at random.
func (fleet *fleet) draw(share float64) []*batch {
	count := int(math.Round(share * float64(len(fleet.list))))
	list := make([]*batch, 0, count)
	for _, place := range fleet.random.Perm(len(fleet.list))[:count] {
		list = append(list, fleet.list[place])
	}
	return list
}

// crash ends a runner without a word; another takes its place after a while.
func (fleet *fleet) crash(batch *batch, length time.Duration) {
	batch.crash()
	// One that says nothing any more is taken off the list only after some calls have not come.
	fleet.world.After(3600*time.Millisecond, func() { fleet.remove(batch) })
	fleet.world.After(length, func() { fleet.add(batch.zone); fleet.relist() })
}

// replace drains a runner beside one that takes its place.
func (fleet *fleet) replace(batch *batch) {
	for _, line := range fleet.lines {
		if line.RunnerId == batch.id {
			line.State = runnerDraining
		}
	}
	fleet.add(batch.zone)
	fleet.relist()
	fleet.world.After(3*time.Second, func() { fleet.remove(batch) })
}

func (fleet *fleet) remove(gone *batch) {
	delete(fleet.batches, gone.id)
	remaining := []*wire.Runner{}
	for _, line := range fleet.lines {
		if line.RunnerId != gone.id {
			remaining = append(remaining, line)
		}
	}
	fleet.lines = remaining
	list := []*batch{}
	for _, one := range fleet.list {
		if one != gone {
			list = append(list, one)
		}
	}
	fleet.list = list
	gone.crash()
	fleet.relist()
}

func (fleet *fleet) relist() {
	for _, daemon := range fleet.daemons {
		lines := make([]*wire.Runner, 0, len(fleet.lines))
		for _, line := range fleet.lines {
			lines = append(
				lines,
				&wire.Runner{
					RunnerId: line.RunnerId,
					Zone:     line.Zone,
					Service:  line.Service,
					State:    line.State,
					Slots:    line.Slots,
				},
			)
		}
		daemon.table.UpdateListing(fleet.world.Now, lines)
	}
}

func (fleet *fleet) middle() bool {
	since := fleet.world.Now.Sub(fleet.started)
	return since >= fleet.play.Length/3 && since < 2*fleet.play.Length/3
}
