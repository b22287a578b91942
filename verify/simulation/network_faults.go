package simulation

import "time"

const (
	// lossyPart is the part of all messages that a lossy network loses.
	lossyPart = 0.15
	// slowJitter is the most that chance adds to a message's time in a slow network.
	slowJitter = 400 * time.Millisecond
)

// networkFaults cut links between the control plane and its daemons, lose messages or delay them.
var networkFaults = map[string]Fault{
	"data cut off":          onDaemon(impact{}, cutOff),
	"data deaf":             onDaemon(impact{}, deafen),
	"data cut from control": cutDaemonFromCores,
	"core cut off":          onCore(cutOff),
	"core deaf":             onCore(deafen),
	"core mute":             onCore(mute),
	"core halved":           cutCoresInHalves,
	"core link cut one way": cutCoreLinkOneWay,
	"control cut from data": cutCoresFromDaemons,
	"zone cut off":          cutOffZone,
	"lossy network":         loseMessages,
	"slow network":          delayMessages,
}

func cutDaemonFromCores(world *World) func() {
	world.topology.CutOff([]*Host{world.pick(world.Datas())}, world.Cores())
	return world.topology.Heal
}

// cutCoresInHalves parts the cores from each other in two halves; no daemon is cut off.
func cutCoresInHalves(world *World) func() {
	cores := world.injector.shuffled(world.Cores())
	world.topology.CutOff(cores[:len(cores)/2], cores[len(cores)/2:])
	return world.topology.Heal
}

func cutCoreLinkOneWay(world *World) func() {
	host := world.pick(world.Cores())
	world.topology.Cut(host, world.pick(without(world.Cores(), host)))
	return world.topology.Heal
}

func cutCoresFromDaemons(world *World) func() {
	world.topology.CutOff(world.Cores(), world.Datas())
	return world.topology.Heal
}

// cutOffZone cuts off a zone with a core.
func cutOffZone(world *World) func() {
	inside, outside := world.zone(world.pick(world.Cores()).Zone)
	end := world.injector.record(impact{knowable: unresponsiveBound}, inside...)
	world.topology.CutOff(inside, outside)
	return both(end, world.topology.Heal)
}

func loseMessages(world *World) func() {
	world.network.Loss = lossyPart
	return func() { world.network.Loss = 0 }
}

// delayMessages has messages take so long that no daemon can be sure of a new configuration in time; the brief knows no
// such network.
func delayMessages(world *World) func() {
	end := world.injector.record(impact{knowable: unresponsiveBound}, world.Hosts...)
	world.network.Jitter = slowJitter
	return both(end, func() { world.network.Jitter = defaultJitter })
}
