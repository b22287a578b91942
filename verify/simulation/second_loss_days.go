package simulation

import "time"

const (
	// catchUpTime is how long after its start a repaired or new machine may still count as lost.
	catchUpTime = 4 * time.Second
	// firstLossLength is how long the machine that is lost first is away, where it comes back.
	firstLossLength = time.Second
	// secondLossLength is how long the machine that is lost second is away.
	secondLossLength = 5 * time.Second
)

// firstLosses are how a machine is taken out, or repaired; each is over by itself.
var firstLosses = map[string]func(world *World, old *Host){
	"repair":                   repairDisk,
	"planned leave and return": leaveAndReturn,
	"planned replacement":      replaceAsPlanned,
	"unplanned replacement":    replaceAfterLoss,
}

// FirstLossNames returns the ways in which a machine is taken out or repaired.
func FirstLossNames() []string { return sorted(firstLosses) }

// repairDisk has a machine lose its disk and come back with an empty one.
func repairDisk(world *World, old *Host) { world.After(firstLossLength, wipeDisk(world, old)) }

// leaveAndReturn has a machine stop as planned, and come back.
func leaveAndReturn(world *World, old *Host) {
	old.core.decommission(func() { world.After(firstLossLength, old.Boot) })
}

// replaceAsPlanned has another machine start while one stops for good.
func replaceAsPlanned(world *World, old *Host) {
	old.core.decommission(func() { old.removed = true })
	world.injector.addReplacement(old).Boot()
}

// replaceAfterLoss has another machine start after one was lost for good.
func replaceAfterLoss(world *World, old *Host) {
	old.Power()
	old.removed = true
	world.After(firstLossLength, func() { world.injector.addReplacement(old).Boot() })
}

// secondLoss is the loss of one more machine while another one is taken out or repaired.
type secondLoss struct {
	// first is the way in which the first machine is taken out, after is so long after that began.
	first string
	after time.Duration
	// wiped means that the second machine loses its disk.
	wiped bool
}

// SecondLossDay has a machine taken out or repaired in one of the ways of FirstLossNames, and another lost, with its
// disk or dark for a while, so long after that began.
func SecondLossDay(first string, wiped bool, after time.Duration) ControlDay {
	loss := secondLoss{first: first, after: after, wiped: wiped}
	return ControlDay{
		Length:      after + 8*time.Second,
		RaceEvery:   400 * time.Millisecond,
		LostAnswers: 0.2,
		Fleeting:    wiped && !loss.isRepaired(),
		begin:       loss.begin,
	}
}

// isRepaired reports whether the first machine counts as repaired when the second one is lost. Before, a second disk is
// one too many.
func (loss secondLoss) isRepaired() bool { return loss.after >= firstLossLength+catchUpTime }

// begin takes out the first machine, the head or any, and plans the loss of the second.
func (loss secondLoss) begin(world *World) {
	old := world.pick(world.Cores())
	if world.random.Intn(2) == 0 {
		old = world.injector.head()
	}
	firstLosses[loss.first](world, old)
	world.After(loss.after, func() { loss.loseSecond(world, old) })
}

// loseSecond takes the power from another machine for a while, or its disk too.
func (loss secondLoss) loseSecond(world *World, old *Host) {
	second := world.pick(loss.candidates(world, old))
	world.injector.log("second loss: %s, first %s", second.Address, old.Address)
	second.Power()
	if loss.wiped {
		second.core.wipe()
		second.poweredOff = true
	}
	world.After(secondLossLength, second.Boot)
}

// candidates are the machines of which one is lost second: a machine that has not come yet, or that is new and does not
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
