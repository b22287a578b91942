package simulation

import "wardtray/verify/histories"

// machineFaults replace machines, or cut the power of several at once.
var machineFaults = map[string]Fault{
	"core replaced":               replaceCore,
	"zone lost":                   powerOffZone,
	"all down":                    powerOffAll,
	"power after acknowledgement": losePowerAfterAcknowledgement,
	"disks lost in the dark":      loseDisksDuringPowerLoss,
	"runner replaced":             replaceRunner,
}

// replaceCore removes a control machine permanently; undoing it starts another one at a new address.
func replaceCore(world *World) func() {
	if !world.recovery.isRedundant() {
		return nothingToUndo
	}
	old := world.pick(world.Cores())
	old.Kill()
	old.removed, old.poweredOff = true, world.random.Intn(2) == 0
	return world.injector.addReplacement(old).Boot
}

// powerOffZone cuts the power of all machines of a zone that has a control machine.
func powerOffZone(world *World) func() {
	inside, _ := world.zone(world.pick(world.Cores()).Zone)
	end := world.injector.record(impact{kills: true, detectableAfter: unresponsiveBound}, inside...)
	for _, host := range inside {
		host.PowerOff()
	}
	return both(end, func() { boot(inside) })
}

// powerOffAll cuts the power of all machines. After their return an operator sends changes until one is accepted.
func powerOffAll(world *World) func() {
	end := world.injector.record(impact{kills: true, detectableAfter: unresponsiveBound}, world.Hosts...)
	for _, host := range world.Hosts {
		host.PowerOff()
	}
	return func() {
		end()
		boot(world.Hosts)
		if traffic := world.Traffic; traffic != nil {
			traffic.History.OutageEnds = append(traffic.History.OutageEnds, histories.OutageEnd{At: world.Now})
			operators := newOperators(world, world.injector.nextReturn())
			operators.retryChange(world.Now.Add(recoveryBound))
		}
	}
}

// powerLoss is a set of machines that lose their power together.
type powerLoss struct {
	world *World
	hosts []*Host
	ends  []func()
}

// add cuts the power of a machine.
func (loss *powerLoss) add(host *Host) {
	loss.ends = append(loss.ends,
		loss.world.injector.record(impact{kills: true, detectableAfter: unresponsiveBound}, host))
	host.PowerOff()
	loss.hosts = append(loss.hosts, host)
}

// undo starts the machines again, and cancels a power loss that has not happened yet.
func (loss *powerLoss) undo() {
	loss.world.Check.OnAccepted = nil
	for index, host := range loss.hosts {
		host.Boot()
		loss.ends[index]()
	}
}

// losePowerAfterAcknowledgement cuts the power of all control machines, and of about half of the other machines, right
// after a change has been acknowledged: the change must be on the disks by then, however many machines stop.
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

// loseDisksDuringPowerLoss cuts the power of all machines right after a change has been acknowledged, and wipes the
// disks of as many control machines as may lose theirs. The other machines keep only what is on their disks.
func loseDisksDuringPowerLoss(world *World) func() {
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

// replaceRunner replaces a runner in the platform's list by another one; with a request path it kills a runner.
func replaceRunner(world *World) func() {
	if world.Traffic != nil {
		return killRunner(world)
	}
	world.Platform.replace(world.random)
	return nothingToUndo
}
