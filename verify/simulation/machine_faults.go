package simulation

import "wardtray/verify/histories"

// machineFaults replace machines, or take the power from several at once.
var machineFaults = map[string]Fault{
	"core replaced":               replaceCore,
	"zone lost":                   loseZone,
	"all down":                    loseAll,
	"power after acknowledgement": losePowerAfterAcknowledgement,
	"disks lost in the dark":      loseDisksInTheDark,
	"runner replaced":             replaceRunner,
}

// replaceCore takes a core machine away for good; the undoing starts another one at a new address.
func replaceCore(world *World) func() {
	if !world.recovery.isRedundant() {
		return nothingToUndo
	}
	old := world.pick(world.Cores())
	old.Kill()
	old.removed, old.poweredOff = true, world.random.Intn(2) == 0
	return world.injector.addReplacement(old).Boot
}

// loseZone takes the power from all machines of a zone with a core.
func loseZone(world *World) func() {
	inside, _ := world.zone(world.pick(world.Cores()).Zone)
	end := world.injector.record(impact{kills: true, knowable: unresponsiveBound}, inside...)
	for _, host := range inside {
		host.Power()
	}
	return both(end, func() { boot(inside) })
}

// loseAll takes the power from all machines. After their return an operator sends changes until one is accepted.
func loseAll(world *World) func() {
	end := world.injector.record(impact{kills: true, knowable: unresponsiveBound}, world.Hosts...)
	for _, host := range world.Hosts {
		host.Power()
	}
	return func() {
		end()
		boot(world.Hosts)
		if traffic := world.Traffic; traffic != nil {
			traffic.History.Returns = append(traffic.History.Returns, histories.Return{At: world.Now})
			operators := newOperators(world, world.injector.nextReturn())
			operators.retryChange(world.Now.Add(returnBound))
		}
	}
}

// powerLoss is the machines that lost their power together.
type powerLoss struct {
	world *World
	hosts []*Host
	ends  []func()
}

// add takes the power from a machine.
func (loss *powerLoss) add(host *Host) {
	loss.ends = append(loss.ends,
		loss.world.injector.record(impact{kills: true, knowable: unresponsiveBound}, host))
	host.Power()
	loss.hosts = append(loss.hosts, host)
}

// undo starts the machines again, and has none lose its power any more where that has not come about.
func (loss *powerLoss) undo() {
	loss.world.Check.OnAccepted = nil
	for index, host := range loss.hosts {
		host.Boot()
		loss.ends[index]()
	}
}

// losePowerAfterAcknowledgement takes the power from all cores, and about half of the other machines, a moment after a
// change has been acknowledged: it must be on the disks by then, however many machines stop.
func losePowerAfterAcknowledgement(world *World) func() {
	loss := &powerLoss{world: world}
	world.Check.OnAccepted = func() {
		world.Check.OnAccepted = nil
		world.After(0, func() {
			for _, host := range world.Hosts {
				if host.up && (host.core != nil || world.random.Intn(2) == 0) {
					loss.add(host)
				}
			}
		})
	}
	return loss.undo
}

// loseDisksInTheDark takes the power from all machines a moment after a change has been acknowledged, and the disk from
// as many cores as may lose it: the memory of every other machine is only what its disk holds.
func loseDisksInTheDark(world *World) func() {
	loss := &powerLoss{world: world}
	world.Check.OnAccepted = func() {
		if !world.recovery.isRedundant() {
			return
		}
		world.Check.OnAccepted = nil
		world.After(0, func() {
			cores := world.injector.shuffled(world.Cores())
			for _, host := range world.Hosts {
				loss.add(host)
			}
			for _, host := range cores[:min(world.Faults, len(cores)-1)] {
				host.core.wipe()
				host.poweredOff = true
			}
		})
	}
	return loss.undo
}

// replaceRunner has the platform list another runner in place of one.
func replaceRunner(world *World) func() {
	if world.Traffic != nil {
		return killRunner(world)
	}
	world.Platform.replace(world.random)
	return nothingToUndo
}
