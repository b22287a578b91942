package simulation

// listFaults are the kinds of fault of the runner list that the platform serves.
var listFaults = map[string]Fault{
	"list silent":     onList(func(platform *platform, on bool) { platform.unreachable = on }),
	"list empty":      onList(func(platform *platform, on bool) { platform.empty = on }),
	"list stuck":      onList(func(platform *platform, on bool) { platform.frozen = on }),
	"list half":       onList(func(platform *platform, on bool) { platform.truncated = on }),
	"list older":      onList(func(platform *platform, on bool) { platform.outdated = on }),
	"runner delisted": delistRunner,
}

// onList changes the list that the platform serves until the fault is undone.
func onList(change func(platform *platform, on bool)) Fault {
	return func(world *World) func() {
		change(&world.Platform, true)
		return func() { change(&world.Platform, false) }
	}
}

// delistRunner removes a runner from the list while it continues to run.
func delistRunner(world *World) func() {
	host := world.injector.runner()
	incarnation := host.incarnation
	world.Platform.set(host, "")
	return func() { world.Platform.relist(host, incarnation) }
}
