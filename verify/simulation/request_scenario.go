package simulation

import (
	"time"

	"wardtray/verify/loadtest"
)

// RequestScenario configures a run of a deployment with its request path.
type RequestScenario struct {
	// Faults are the kinds of fault injected, at most AtOnce at the same time, for Length.
	Faults []string
	AtOnce int
	Length time.Duration
	// Every is the mean interval between operators' requests, TakeAway the fraction of their configurations that remove
	// something that requests need.
	Every    time.Duration
	TakeAway float64
	// Rate is the number of requests per second. DisconnectsMidway, Disconnects and Retries are the fractions of them
	// whose clients disconnect in the middle of an answer, disconnect at any time, or send them again.
	Rate, DisconnectsMidway, Disconnects, Retries float64
	// RetriesElsewhere is the fraction of the requests that are sent again to any daemon, Undeclared that of the clients
	// that don't declare whether a request is a retry.
	RetriesElsewhere, Undeclared float64
	// Mix, if set, changes the deployment's workload.
	Mix func(mix loadtest.Mix) loadtest.Mix
}

// DefaultRequestScenario is the scenario on which all others are based; it has no faults.
var DefaultRequestScenario = RequestScenario{
	AtOnce:            1,
	Length:            40 * time.Second,
	Every:             2 * time.Second,
	TakeAway:          0.25,
	Rate:              60,
	DisconnectsMidway: 0.01,
	Retries:           0.03,

	RetriesElsewhere: 0.05,
	Undeclared:       0.05,
}

// RunRequestScenario starts a deployment, injects faults under load, ends them, and checks the complete history.
func RunRequestScenario(seed int64, shape Shape, scenario RequestScenario) *World {
	if scenario.Mix != nil {
		shape.Mix = scenario.Mix(shape.Mix)
	}
	world := NewDeployment(seed, shape)
	defer world.Close()
	traffic := world.Traffic
	world.Run(bootstrapTime)
	first := newOperators(world, 500_000)
	first.apply(world.Cores()[0])
	world.Run(3 * time.Second)
	traffic.Rate, traffic.Retries, traffic.drafter.takeAway = scenario.Rate, scenario.Retries, scenario.TakeAway
	traffic.DisconnectsMidway, traffic.Disconnects = scenario.DisconnectsMidway, scenario.Disconnects
	traffic.RetriesElsewhere, traffic.Undeclared = scenario.RetriesElsewhere, scenario.Undeclared
	operators := startOperators(world, scenario.Every)
	world.Run(5 * time.Second)
	if len(scenario.Faults) > 0 {
		scheduleFaults(world, scenario.Length, scenario.Faults, scenario.AtOnce)
	}
	world.Run(scenario.Length + time.Millisecond)
	// Requests must continue: only their answers show whether service has recovered.
	traffic.drafter.takeAway = 0
	world.Run(recoveryBound)
	operators.Stop()
	world.recovery.requireService()
	traffic.stopped = true
	// A request counts as never answered only after the longest time limit has passed.
	end := world.Now.Add(45 * time.Second)
	for traffic.pendingClients() > 0 && world.Now.Before(end) && len(world.Check.Violations) == 0 {
		world.Run(time.Second)
	}
	if len(world.Check.Violations) == 0 {
		traffic.requireAllAnswered()
	}
	if len(world.Check.Violations) == 0 {
		traffic.End()
	}
	world.Check.checkHistory()
	return world
}

// pendingClients returns the number of clients whose requests are not answered yet.
func (traffic *Traffic) pendingClients() int {
	count := 0
	for _, host := range traffic.world.Daemons() {
		count += len(host.daemon.clients)
	}
	return count
}

// requireAllAnswered reports requests that were never answered although nothing delays them any more.
func (traffic *Traffic) requireAllAnswered() {
	for _, host := range traffic.world.Daemons() {
		for _, client := range host.daemon.clients {
			traffic.world.Check.violation("dropped: %s, sent to %s %v ago, has no answer yet", client.record.Request,
				host.Address, traffic.world.Now.Sub(client.record.Sent))
		}
	}
}
