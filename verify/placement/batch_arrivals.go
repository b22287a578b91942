package placement

import (
	"math"
	"time"

	"wardtray/balancer/scheduler"
)

// Parameters of the arrivals, which are bursts at a rate that varies sinusoidally, with a different phase in each zone.
const (
	// meanBurstSize is the mean number of requests in a burst.
	meanBurstSize = 3.0
	// rateAmplitude is the amplitude of the rate, relative to its mean.
	rateAmplitude = 0.15
	// ratePeriod is the period of the rate, in seconds.
	ratePeriod = 11.0
	// burstDuration is the time over which the requests of a burst arrive.
	burstDuration = 10 * time.Millisecond
)

// scheduleArrivals schedules bursts of requests from random clients in a zone, until Length has passed.
func (simulated *batchSimulation) scheduleArrivals(zone int) {
	since := simulated.world.Now.Sub(simulated.started)
	if since > simulated.experiment.Length {
		return
	}
	zones, random := simulated.experiment.Deployment.Zones, simulated.random
	phase := since.Seconds()/ratePeriod + float64(zone)/float64(zones)
	rate := simulated.workload.rate * simulated.experiment.Load / float64(zones) *
		(1 + rateAmplitude*math.Sin(2*math.Pi*(phase)))
	gap := time.Duration(random.ExpFloat64() * meanBurstSize / rate * float64(time.Second))
	simulated.world.After(gap, func() {
		daemon := simulated.clients[random.Intn(len(simulated.clients)/zones)*zones+zone]
		for more := true; more; more = random.Float64() > 1/meanBurstSize {
			simulated.world.After(time.Duration(random.Int63n(int64(burstDuration))),
				func() { simulated.arrive(daemon) })
		}
		simulated.scheduleArrivals(zone)
	})
}

// arrive generates a request and passes it to a daemon.
func (simulated *batchSimulation) arrive(daemon *daemon) {
	hotRoute := noRoute
	if simulated.inMiddle() {
		hotRoute = simulated.experiment.HotRoute
	}
	drawn := simulated.workload.draw(hotRoute, simulated.experiment.Hot)
	request := &batchRequest{
		drawnRequest: drawn,
		arrived:      simulated.world.Now,
		window:       int(simulated.world.Now.Sub(simulated.started) / windowLength),
		queued: newQueuedRequest(drawn.route.Name, 1, drawn.prompt, "", scheduler.Requirements{
			Value:             drawn.route.Value,
			LatencyTarget:     drawn.route.LatencyTarget,
			Deadline:          drawn.route.Deadline,
			PromptTokens:      drawn.promptTokens,
			MaxResponseTokens: drawn.answerTokens,
			Rank:              drawn.route.Rank,
			Zone:              daemon.zone,
		}),
	}
	simulated.results.update(drawn.route.Name, func(result *BatchResult) { result.recordArrival(request) })
	daemon.budget.RecordRequest(simulated.world.Now)
	simulated.schedule(daemon, request)
}
