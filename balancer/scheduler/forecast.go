package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/load"
)

// reportDecay is the time constant, in seconds, with which the weight of a runner's report decays.
const reportDecay = 0.5

// forecast predicts the times to first events from learned engine speeds, the runners' backlogs and traffic statistics.
type forecast struct {
	speeds engineSpeeds
	// firstEvents is the number of first events from which the speeds were learned.
	firstEvents int
	// backlogs holds the backlogs by runner ID.
	backlogs map[string]*runnerBacklog
	trafficStatistics
}

func newForecast() *forecast {
	return &forecast{
		speeds:            defaultSpeeds,
		backlogs:          map[string]*runnerBacklog{},
		trafficStatistics: newTrafficStatistics(),
	}
}

// backlog returns the backlog of a runner, and creates it if there is none.
func (forecast *forecast) backlog(runner string) *runnerBacklog {
	backlog := forecast.backlogs[runner]
	if backlog == nil {
		backlog = &runnerBacklog{slowdown: 1}
		forecast.backlogs[runner] = backlog
	}
	return backlog
}

// pruneBacklogs deletes the backlogs of runners that no longer exist, once there are many of them.
func (forecast *forecast) pruneBacklogs(runners []load.Runner) {
	const tolerated = 8
	if len(forecast.backlogs) <= 2*len(runners)+tolerated {
		return
	}
	listed := map[string]bool{}
	for index := range runners {
		listed[runners[index].ID] = true
	}
	for id, backlog := range forecast.backlogs {
		if !listed[id] && len(backlog.pending) == 0 {
			delete(forecast.backlogs, id)
		}
	}
}

// ownWait returns the predicted time, in seconds, until a runner has prefilled the prompts that this scheduler sent to
// it.
func (forecast *forecast) ownWait(now time.Time, runner string) float64 {
	backlog := forecast.backlogs[runner]
	if backlog == nil {
		return 0
	}
	return backlog.wait(now)
}

// othersWait returns the predicted time, in seconds, until a runner has prefilled the prompts of other daemons. It
// starts from the runner's newest report and decays towards the usual wait as the report ages.
func (forecast *forecast) othersWait(now time.Time, runner *load.Runner, usual PromptForecast) float64 {
	if runner.Reported.IsZero() {
		return usual.Wait
	}
	reported := float64(runner.OthersWaiting) * usual.Prefill
	age := now.Sub(runner.Reported).Seconds()
	return usual.Wait + (reported-usual.Wait)*math.Exp(-age/reportDecay)
}

// promptForecast returns the forecast for each of that many runners if all daemons send their prompts of a class to
// them.
func (forecast *forecast) promptForecast(now time.Time, class *promptClass, daemons, runners int) PromptForecast {
	utilization := forecast.utilization(now, class, daemons, runners)
	prefill := class.remainingPrefill()
	// The mean queueing time of a single-server queue with this utilization.
	return PromptForecast{Wait: utilization / (1 - utilization) * prefill, Prefill: prefill}
}

// firstEvent records that the first event of a request arrived, took after its dispatch.
func (forecast *forecast) firstEvent(request *QueuedRequest, decision Decision, took time.Duration) {
	now := request.dispatched.Add(took)
	forecast.backlog(decision.Runner.ID).firstEvent(now, request, took.Seconds(), decision.Predicted.Seconds())
	forecast.learnSpeeds(request.Requirements.PromptTokens, decision.CachedTokens, took)
}

// learnSpeeds updates the engine speeds with the time to the first event of a prompt of which that many tokens were
// cached.
func (forecast *forecast) learnSpeeds(prompt, cached int, took time.Duration) {
	forecast.speeds.learn(prompt, cached, took.Seconds(), forecast.firstEvents)
	forecast.firstEvents++
}

// requestEnded removes a request from a runner's backlog if its first event has not arrived.
func (forecast *forecast) requestEnded(request *QueuedRequest, runner string) {
	if backlog := forecast.backlogs[runner]; backlog != nil {
		backlog.remove(request)
	}
}
