package simulation

import "time"

// RaceDays are races with lost answers, with the core whole and with a leader that changes.
var RaceDays = map[string]ControlDay{
	"answers lost":                 raceDay(func(*World) {}),
	"answers lost, leaders killed": raceDay(headsOneAfterTheOther(killProcess, time.Second)),
	"answers lost, leaders frozen": raceDay(headsOneAfterTheOther(freezeProcess, 2500*time.Millisecond)),
}

// raceDay has operators race without a pause, and lose most answers.
func raceDay(begin func(world *World)) ControlDay {
	return ControlDay{Length: 20 * time.Second, LostAnswers: 0.6, begin: begin}
}

// headsOneAfterTheOther does a fault for a length of time to three heads, each six seconds after the one before.
func headsOneAfterTheOther(fault hostFault, length time.Duration) func(world *World) {
	const heads, every = 3, 6 * time.Second
	return func(world *World) {
		for count := range heads {
			world.After(time.Duration(count)*every, func() {
				world.After(length, fault(world, world.injector.head()))
			})
		}
	}
}
