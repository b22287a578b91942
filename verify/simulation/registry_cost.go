package simulation

import "time"

// RegistryCost holds averages per second: the bytes that one control machine sends (Core), the bytes that one data
// daemon sends (Daemon), and the messages that one process of any kind sends (Messages).
type RegistryCost struct {
	Core, Daemon, Messages float64
}

// MeasureRegistry starts a fleet of the given numbers of daemons and runners and measures the messages and bytes that
// its processes send: first without changes (calm), then while runners are replaced (release). The parameter every is
// the mean interval between replacements.
func MeasureRegistry(seed int64, daemons, runners int, every time.Duration) (calm, release RegistryCost) {
	world := newWideDeployment(seed, daemons, 1, func(world *World) { startRegisteringRunners(world, runners, wideZones) })
	world.Run(30 * time.Second)
	calm = measureCost(world, 10*time.Second)
	world.RegisteringRunners.startChurn(every)
	release = measureCost(world, 20*time.Second)
	return calm, release
}

// measureCost runs the world for a duration and returns the cost per second.
func measureCost(world *World, length time.Duration) RegistryCost {
	sum := func(hosts []*Host) (total uint64) {
		for _, host := range hosts {
			total += host.Sent
		}
		return total
	}
	cores, daemons, messages := sum(world.Cores()), sum(world.Daemons()), world.network.Messages
	world.Run(length)
	perSecond := func(now, before uint64, count int) float64 {
		return float64(now-before) / float64(max(1, count)) / length.Seconds()
	}
	return RegistryCost{
		Core:     perSecond(sum(world.Cores()), cores, len(world.Cores())),
		Daemon:   perSecond(sum(world.Daemons()), daemons, len(world.Daemons())),
		Messages: perSecond(world.network.Messages, messages, len(world.Hosts)),
	}
}
