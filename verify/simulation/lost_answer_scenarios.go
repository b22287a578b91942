package simulation

import "time"

// LostAnswerScenarios send conflicting changes whose answers are lost, with a stable head and with heads that change.
var LostAnswerScenarios = map[string]ControlScenario{
	"answers lost":                 lostAnswerScenario(func(*World) {}),
	"answers lost, leaders killed": lostAnswerScenario(faultsOfSuccessiveHeads(killProcess, time.Second)),
	"answers lost, leaders frozen": lostAnswerScenario(faultsOfSuccessiveHeads(freezeProcess, 2500*time.Millisecond)),
}

// lostAnswerScenario sends conflicting changes without a pause, and loses most answers.
func lostAnswerScenario(begin func(world *World)) ControlScenario {
	return ControlScenario{Length: 20 * time.Second, LostAnswers: 0.6, begin: begin}
}

// faultsOfSuccessiveHeads applies a fault for a duration to the head, three times with six seconds in between.
func faultsOfSuccessiveHeads(fault hostFault, length time.Duration) func(world *World) {
	const heads, every = 3, 6 * time.Second
	return func(world *World) {
		for count := range heads {
			world.After(time.Duration(count)*every, func() {
				world.After(length, fault(world, world.injector.head()))
			})
		}
	}
}
