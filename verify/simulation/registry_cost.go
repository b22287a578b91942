package simulation

import "time"

// RegistryCost is what a core and a daemon sent in a second, in bytes, on average over each kind; Messages is of all
// processes.
type RegistryCost struct {
	Core, Daemon, Messages float64
}

// MeasureRegistry founds a fleet of so many daemons and runners and tells what its processes send: in a calm
// time, and while a runner is replaced about every so often.
func MeasureRegistry(seed int64, daemons, runners int, every time.Duration) (calm, release RegistryCost) {
	world := foundWide(seed, daemons, 1, func(world *World) { startRegisteringRunners(world, runners, wideZones) })
	world.Run(30 * time.Second)
	calm = measureCost(world, 10*time.Second)
	world.RegisteringRunners.startChurn(every)
	release = measureCost(world, 20*time.Second)
	return calm, release
}

// measureCost runs for a while and returns what was sent a second.
func measureCost(world *World, length time.Duration) RegistryCost {
	sum := func(hosts []*Host) (total uint64) {
		for _, host := range hosts {
			total += host.Sent
		}
		return total
	}
	cores, datas, messages := sum(world.Cores()), sum(world.Datas()), world.network.Messages
	world.Run(length)
	per := func(now, before uint64, count int) float64 {
		return float64(now-before) / float64(max(1, count)) / length.Seconds()
	}
	return RegistryCost{
		Core:     per(sum(world.Cores()), cores, len(world.Cores())),
		Daemon:   per(sum(world.Datas()), datas, len(world.Datas())),
		Messages: per(world.network.Messages, messages, len(world.Hosts)),
	}
}
