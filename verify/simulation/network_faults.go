package simulation

import "time"

const (
	// lossyNetworkLoss is the fraction of all messages that a lossy network loses.
	lossyNetworkLoss = 0.15
	// slowJitter is the longest random addition to a message's time in a slow network.
	slowJitter = 400 * time.Millisecond
)

// networkFaults cut links between control machines and data daemons, lose messages or delay them.
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
	world.topology.CutOff([]*Host{world.pick(world.Daemons())}, world.Cores())
	return world.topology.Heal
}

// cutCoresInHalves cuts the control machines into two halves; the data daemons reach both.
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
	world.topology.CutOff(world.Cores(), world.Daemons())
	return world.topology.Heal
}

// cutOffZone cuts off a zone that has a control machine.
func cutOffZone(world *World) func() {
	inside, outside := world.zone(world.pick(world.Cores()).Zone)
	end := world.injector.record(impact{detectableAfter: unresponsiveBound}, inside...)
	world.topology.CutOff(inside, outside)
	return both(end, world.topology.Heal)
}

func loseMessages(world *World) func() {
	world.network.Loss = lossyNetworkLoss
	return func() { world.network.Loss = 0 }
}

// delayMessages delays messages so much that no daemon can confirm its configuration in time. The users' requirements
// include no such network.
func delayMessages(world *World) func() {
	end := world.injector.record(impact{detectableAfter: unresponsiveBound}, world.Hosts...)
	world.network.Jitter = slowJitter
	return both(end, func() { world.network.Jitter = defaultJitter })
}
