package placement

import (
	"math"
	"time"

	"wardtray/balancer/scheduler"
)

// Arrivals come in clumps of arrivalClump requests on average, at rates that swing by the part arrivalSwing over a time
// of arrivalPeriod seconds, in each zone at another time.
const (
	arrivalClump  = 3.0
	arrivalSwing  = 0.15
	arrivalPeriod = 11.0
	// clumpLength is the time over which the requests of a clump arrive.
	clumpLength = 10 * time.Millisecond
)

// scheduleArrivals lets clumps of requests arrive from random clients of a zone, until the play's length is over.
func (simulated *batchSimulation) scheduleArrivals(zone int) {
	since := simulated.world.Now.Sub(simulated.started)
	if since > simulated.play.Length {
		return
	}
	zones, random := simulated.play.Deployment.Zones, simulated.random
	phase := since.Seconds()/arrivalPeriod + float64(zone)/float64(zones)
	rate := simulated.workload.rate * simulated.play.Load / float64(zones) *
		(1 + arrivalSwing*math.Sin(2*math.Pi*(phase)))
	gap := time.Duration(random.ExpFloat64() * arrivalClump / rate * float64(time.Second))
	simulated.world.After(gap, func() {
		daemon := simulated.clients[random.Intn(len(simulated.clients)/zones)*zones+zone]
		for more := true; more; more = random.Float64() > 1/arrivalClump {
			simulated.world.After(time.Duration(random.Int63n(int64(clumpLength))),
				func() { simulated.arrive(daemon) })
		}
		simulated.scheduleArrivals(zone)
	})
}

// arrive draws a request and gives it to a daemon.
func (simulated *batchSimulation) arrive(daemon *daemon) {
	hotRoute := noRoute
	if simulated.inMiddle() {
		hotRoute = simulated.play.HotRoute
	}
	drawn := simulated.workload.draw(hotRoute, simulated.play.Hot)
	request := &batchRequest{
		drawnRequest: drawn,
		arrived:      simulated.world.Now,
		window:       int(simulated.world.Now.Sub(simulated.started) / windowLength),
		queued: newQueuedRequest(drawn.route.Name, 1, drawn.prompt, "", scheduler.Requirements{
			Value:         drawn.route.Value,
			LatencyTarget: drawn.route.LatencyTarget,
			Deadline:      drawn.route.Deadline,
			PromptTokens:  drawn.promptTokens,
			AnswerTokens:  drawn.answerTokens,
			Rank:          drawn.route.Rank,
			Zone:          daemon.zone,
		}),
	}
	simulated.results.update(drawn.route.Name, func(earned *Earned) { earned.arrived(request) })
	daemon.budget.RecordRequest(simulated.world.Now)
	simulated.schedule(daemon, request)
}
