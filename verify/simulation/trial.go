package simulation

import (
	"time"

	"wardtray/verify/loadtest"
)

// Trial says how a deployment with its request path is tried.
type Trial struct {
	// Faults are the kinds of fault injected, AtOnce how many at once, for Length.
	Faults []string
	AtOnce int
	Length time.Duration
	// Every is about how often operators send a change, Takes the part of their specs that take
	// something away.
	Every    time.Duration
	TakeAway float64
	// Rate is how many requests come a second; Quits, Leaves and Repeats are the parts of them whose clients
	// hang up in the middle of an answer, hang up at any moment, or send them again.
	Rate, HangUpsMidway, HangUps, Retries float64
	// RetriesElsewhere is the part of the requests that are sent again to any daemon, and Undeclared that of the clients
	// that don't say whether they send a request again.
	RetriesElsewhere, Undeclared float64
	// Mix, where it is given, changes the deployment's.
	Mix func(mix loadtest.Mix) loadtest.Mix
}

// DefaultTrial is that of the proofs, without any fault yet.
var DefaultTrial = Trial{
	AtOnce:        1,
	Length:        40 * time.Second,
	Every:         2 * time.Second,
	TakeAway:      0.25,
	Rate:          60,
	HangUpsMidway: 0.01,
	Retries:       0.03,

	RetriesElsewhere: 0.05,
	Undeclared:       0.05,
}

// Try founds a deployment, injects faults under load, ends them, and checks the whole history.
func Try(seed int64, shape Shape, trial Trial) *World {
	if trial.Mix != nil {
		shape.Mix = trial.Mix(shape.Mix)
	}
	world := Found(seed, shape)
	defer world.Close()
	traffic := world.Traffic
	world.Run(foundingTime)
	first := newOperators(world, 500_000)
	first.apply(world.Cores()[0])
	world.Run(3 * time.Second)
	traffic.Rate, traffic.Retries, traffic.drafter.takeAway = trial.Rate, trial.Retries, trial.TakeAway
	traffic.HangUpsMidway, traffic.HangUps = trial.HangUpsMidway, trial.HangUps
	traffic.RetriesElsewhere, traffic.Undeclared = trial.RetriesElsewhere, trial.Undeclared
	operators := startOperators(world, trial.Every)
	world.Run(5 * time.Second)
	if len(trial.Faults) > 0 {
		scheduleFaults(world, trial.Length, trial.Faults, trial.AtOnce)
	}
	world.Run(trial.Length + time.Millisecond)
	// Whether service is back can only be seen while somebody asks for it.
	traffic.drafter.takeAway = 0
	world.Run(returnBound)
	operators.Stop()
	world.recovery.requireService()
	traffic.stopped = true
	// The longest patience must be over before a request can be called forgotten.
	end := world.Now.Add(45 * time.Second)
	for traffic.waiting() > 0 && world.Now.Before(end) && len(world.Check.Violations) == 0 {
		world.Run(time.Second)
	}
	if len(world.Check.Violations) == 0 {
		traffic.finishAll()
	}
	if len(world.Check.Violations) == 0 {
		traffic.End()
	}
	world.Check.judge()
	return world
}

// waiting tells how many clients have no answer yet.
func (traffic *Traffic) waiting() int {
	count := 0
	for _, host := range traffic.world.Datas() {
		count += len(host.daemon.clients)
	}
	return count
}

// finishAll looks for requests that were never answered although nothing keeps them any more.
func (traffic *Traffic) finishAll() {
	for _, host := range traffic.world.Datas() {
		for _, client := range host.daemon.clients {
			traffic.world.Check.violation("dropped: %s, sent to %s %v ago, has no answer yet", client.record.Request,
				host.Address, traffic.world.Now.Sub(client.record.Sent))
		}
	}
}
