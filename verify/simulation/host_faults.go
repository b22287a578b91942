package simulation

import "time"

const (
	// slowDelay is what a slow disk adds to each write, and a slow process to each message that it receives.
	slowDelay = 300 * time.Millisecond
)

// hostFault does something to one host and returns what undoes it.
type hostFault func(world *World, host *Host) (undo func())

// onCore has a fault done to any core.
func onCore(fault hostFault) Fault {
	return func(world *World) func() { return fault(world, world.pick(world.Cores())) }
}

// onHead has a fault done to the core that leads.
func onHead(fault hostFault) Fault {
	return func(world *World) func() { return fault(world, world.injector.head()) }
}

// onDaemon has a fault done to any data daemon, and records it.
func onDaemon(impact impact, fault hostFault) Fault {
	return func(world *World) func() { return recorded(world, world.pick(world.Datas()), impact, fault) }
}

// onRunner has a fault done to a runner, and records it.
func onRunner(impact impact, fault hostFault) Fault {
	return func(world *World) func() { return recorded(world, world.injector.runner(), impact, fault) }
}

// recorded does a fault to a host and records it from its beginning to its end.
func recorded(world *World, host *Host, impact impact, fault hostFault) (undo func()) {
	end := world.injector.record(impact, host)
	return both(end, fault(world, host))
}

// killProcess ends a host's process; the undoing starts it again.
func killProcess(_ *World, host *Host) func() {
	host.Kill()
	return host.Boot
}

// powerOff takes the power from a host's machine.
func powerOff(_ *World, host *Host) func() {
	host.Power()
	return host.Boot
}

// wipeDisk ends a core and replaces its disk by an empty one.
func wipeDisk(_ *World, host *Host) func() {
	host.core.wipe()
	return host.Boot
}

// freezeProcess stops a process without ending it.
func freezeProcess(_ *World, host *Host) func() {
	host.Freeze()
	return host.Wake
}

// slowProcess has a process receive each message late.
func slowProcess(_ *World, host *Host) func() {
	host.processingDelay = slowDelay
	return func() { host.processingDelay = 0 }
}

// stallDisk has a core's disk complete no write.
func stallDisk(_ *World, host *Host) func() {
	host.core.storage.stalled = true
	return host.core.storage.resume
}

// slowDisk has a core's disk take long for each write.
func slowDisk(_ *World, host *Host) func() {
	host.core.storage.delay = slowDelay
	return func() { host.core.storage.delay = 0 }
}

// fillDisk leaves no space on the disk that a core has now.
func fillDisk(_ *World, host *Host) func() {
	disk := host.core.storage.disk
	disk.full = true
	return func() { disk.full = false }
}

// cutOff parts a host from all others.
func cutOff(world *World, host *Host) func() {
	world.topology.CutOff([]*Host{host}, without(world.Hosts, host))
	return world.topology.Heal
}

// deafen has a host receive nothing from any other.
func deafen(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Hosts, false)
	return world.topology.Heal
}

// mute has no other host receive anything from a host.
func mute(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Hosts, true)
	return world.topology.Heal
}

// both does one after the other.
func both(first, second func()) func() {
	return func() {
		first()
		second()
	}
}

// without returns some hosts without one of them.
func without(hosts []*Host, out *Host) []*Host {
	var rest []*Host
	for _, host := range hosts {
		if host != out {
			rest = append(rest, host)
		}
	}
	return rest
}
