package simulation

// diskFaults are the kinds of fault of control machines' disks.
var diskFaults = map[string]Fault{
	"disk stalled":        onCore(stallDisk),
	"head's disk stalled": onHead(stallDisk),
	"disk slow":           onCore(slowDisk),
	"all disks slow":      slowAllDisks,
	"disk full":           onCore(fillDisk),
	"disk damaged":        damageDisk,
	"core wiped":          wipeCore,
}

// wipeCore wipes the disk of a control machine, if the fleet is redundant: two disks lost at once are beyond what any
// deployment tolerates, and nothing could be checked after that.
func wipeCore(world *World) func() {
	if !world.recovery.isRedundant() {
		return nothingToUndo
	}
	return onCore(wipeDisk)(world)
}

func slowAllDisks(world *World) func() {
	for _, host := range world.Cores() {
		host.core.storage.delay = slowDelay
	}
	return func() {
		for _, host := range world.Cores() {
			host.core.storage.delay = 0
		}
	}
}

// damageDisk flips one bit on the disk of a control machine, if the fleet is redundant. The other copies must be
// complete, or the fleet would have lost two disks. Until a scrub has found the damage, or the machine has restarted,
// the loss of another disk is not tolerated either.
func damageDisk(world *World) func() {
	const damagedBit = 0x40
	host := world.pick(world.Cores())
	names := []string{"slot.0", "slot.1", "log"}
	content := host.core.storage.disk.files[names[world.random.Intn(len(names))]]
	if len(content) > 0 && world.recovery.isRedundant() {
		content[world.random.Intn(len(content))] ^= damagedBit
		world.recovery.noteDiskDamage()
	}
	return nothingToUndo
}
