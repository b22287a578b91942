package simulation

import "time"

const (
	// catchUpTime is the time after its start for which a repaired or new machine may still count as lost.
	catchUpTime = 4 * time.Second
	// firstLossLength is the time for which the machine that is lost first is away, if it comes back.
	firstLossLength = time.Second
	// secondLossLength is the time for which the machine that is lost second is away.
	secondLossLength = 5 * time.Second
)

// firstLosses are the ways in which a machine is removed or repaired; each ends by itself.
var firstLosses = map[string]func(world *World, old *Host){
	"repair":                   repairDisk,
	"planned leave and return": leaveAndReturn,
	"planned replacement":      replaceAsPlanned,
	"unplanned replacement":    replaceAfterLoss,
}

// FirstLossNames returns the names of the ways in which a machine is removed or repaired.
func FirstLossNames() []string { return sorted(firstLosses) }

// repairDisk makes a machine lose its disk and come back with an empty one.
func repairDisk(world *World, old *Host) { world.After(firstLossLength, wipeDisk(world, old)) }

// leaveAndReturn shuts a machine down as planned, and starts it again.
func leaveAndReturn(world *World, old *Host) {
	old.core.decommission(func() { world.After(firstLossLength, old.Boot) })
}

// replaceAsPlanned starts another machine while one is decommissioned permanently.
func replaceAsPlanned(world *World, old *Host) {
	old.core.decommission(func() { old.removed = true })
	world.injector.addReplacement(old).Boot()
}

// replaceAfterLoss starts another machine after one was lost permanently.
func replaceAfterLoss(world *World, old *Host) {
	old.PowerOff()
	old.removed = true
	world.After(firstLossLength, func() { world.injector.addReplacement(old).Boot() })
}

// secondLoss is the loss of another machine while a first one is being removed or repaired.
type secondLoss struct {
	// first is the way in which the first machine is removed or repaired, after the time from the start of this to the
	// second loss.
	first string
	after time.Duration
	// wiped means that the second machine loses its disk.
	wiped bool
}

// SecondLossScenario removes or repairs a machine in one of the ways of FirstLossNames and, after the given time, loses
// another one: with its disk if wiped, or powered off for a while.
func SecondLossScenario(first string, wiped bool, after time.Duration) ControlScenario {
	loss := secondLoss{first: first, after: after, wiped: wiped}
	return ControlScenario{
		Length:           after + 8*time.Second,
		ConflictEvery:    400 * time.Millisecond,
		LostAnswers:      0.2,
		ExceedsTolerance: wiped && !loss.isRepaired(),
		begin:            loss.begin,
	}
}

// isRepaired reports whether the first machine counts as repaired at the second loss. Before that, the loss of a second
// disk is not tolerated.
func (loss secondLoss) isRepaired() bool { return loss.after >= firstLossLength+catchUpTime }

// begin removes the first machine, the head or a random one, and schedules the second loss.
func (loss secondLoss) begin(world *World) {
	old := world.pick(world.Cores())
	if world.random.Intn(2) == 0 {
		old = world.injector.head()
	}
	firstLosses[loss.first](world, old)
	world.After(loss.after, func() { loss.loseSecond(world, old) })
}

// loseSecond cuts the power of another machine for a while, and wipes its disk if the loss is wiped.
func (loss secondLoss) loseSecond(world *World, old *Host) {
	second := world.pick(loss.candidates(world, old))
	world.injector.log("second loss: %s, first %s", second.Address, old.Address)
	second.PowerOff()
	if loss.wiped {
		second.core.wipe()
		second.poweredOff = true
	}
	world.After(secondLossLength, second.Boot)
}

// candidates returns the machines that may be lost second. A machine that is down, or one that is new and does not
// count yet, is no second loss.
func (loss secondLoss) candidates(world *World, old *Host) []*Host {
	var others []*Host
	newest := world.Hosts[len(world.Hosts)-1]
	for _, host := range world.Cores() {
		isNew := world.injector.replacements > 0 && host == newest
		if host != old && host.up && (loss.isRepaired() || !isNew) {
			others = append(others, host)
		}
	}
	return others
}
