package simulation

import "time"

const (
	// slowDelay is the delay that a slow disk adds to each batch of writes, and a slow process to each message that it
	// receives.
	slowDelay = 300 * time.Millisecond
)

// hostFault injects a fault into one host and returns the function that undoes it.
type hostFault func(world *World, host *Host) (undo func())

// onCore applies a fault to a random control machine.
func onCore(fault hostFault) Fault {
	return func(world *World) func() { return fault(world, world.pick(world.Cores())) }
}

// onHead applies a fault to the head of the chain.
func onHead(fault hostFault) Fault {
	return func(world *World) func() { return fault(world, world.injector.head()) }
}

// onDaemon applies a fault to a random data daemon, and records it.
func onDaemon(impact impact, fault hostFault) Fault {
	return func(world *World) func() { return recorded(world, world.pick(world.Daemons()), impact, fault) }
}

// onRunner applies a fault to a random runner, and records it.
func onRunner(impact impact, fault hostFault) Fault {
	return func(world *World) func() { return recorded(world, world.injector.runner(), impact, fault) }
}

// recorded applies a fault to a host, and records its start and its end.
func recorded(world *World, host *Host, impact impact, fault hostFault) (undo func()) {
	end := world.injector.record(impact, host)
	return both(end, fault(world, host))
}

// killProcess kills a host's process; undoing it starts the process again.
func killProcess(_ *World, host *Host) func() {
	host.Kill()
	return host.Boot
}

// powerOff cuts the power of a host's machine.
func powerOff(_ *World, host *Host) func() {
	host.PowerOff()
	return host.Boot
}

// wipeDisk kills a control node and replaces its disk by an empty one.
func wipeDisk(_ *World, host *Host) func() {
	host.core.wipe()
	return host.Boot
}

// freezeProcess stops a process without ending it.
func freezeProcess(_ *World, host *Host) func() {
	host.Freeze()
	return host.Wake
}

// slowProcess delays each message that a process receives.
func slowProcess(_ *World, host *Host) func() {
	host.processingDelay = slowDelay
	return func() { host.processingDelay = 0 }
}

// stallDisk stops the disk of a control machine from completing writes.
func stallDisk(_ *World, host *Host) func() {
	host.core.storage.stalled = true
	return host.core.storage.resume
}

// slowDisk delays each write of the disk of a control machine.
func slowDisk(_ *World, host *Host) func() {
	host.core.storage.delay = slowDelay
	return func() { host.core.storage.delay = 0 }
}

// fillDisk fills the present disk of a control machine.
func fillDisk(_ *World, host *Host) func() {
	disk := host.core.storage.disk
	disk.full = true
	return func() { disk.full = false }
}

// cutOff cuts a host off from all others.
func cutOff(world *World, host *Host) func() {
	world.topology.CutOff([]*Host{host}, without(world.Hosts, host))
	return world.topology.Heal
}

// deafen stops all messages from other hosts to a host.
func deafen(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Hosts, false)
	return world.topology.Heal
}

// mute stops all messages from a host to other hosts.
func mute(world *World, host *Host) func() {
	world.topology.cutOneWay(host, world.Hosts, true)
	return world.topology.Heal
}

// both returns a function that calls two functions in order.
func both(first, second func()) func() {
	return func() {
		first()
		second()
	}
}

// without returns hosts without one of them.
func without(hosts []*Host, out *Host) []*Host {
	var rest []*Host
	for _, host := range hosts {
		if host != out {
			rest = append(rest, host)
		}
	}
	return rest
}
