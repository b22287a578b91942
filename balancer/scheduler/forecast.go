package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/load"
)

// reportDecay is within how many seconds a runner's report loses most of what it says of now.
const reportDecay = 0.5

// forecast predicts when first events will come, from what was learned of engines, runners and traffic.
type forecast struct {
	speeds engineSpeeds
	// firstEvents is how many first events have come.
	firstEvents int
	backlogs    map[string]*runnerBacklog
	trafficStatistics
}

func newForecast() *forecast {
	return &forecast{
		speeds:            defaultSpeeds,
		backlogs:          map[string]*runnerBacklog{},
		trafficStatistics: newTrafficStatistics(),
	}
}

// backlog returns the backlog of a runner, a new one if there is none.
func (forecast *forecast) backlog(runner string) *runnerBacklog {
	backlog := forecast.backlogs[runner]
	if backlog == nil {
		backlog = &runnerBacklog{slowdown: 1}
		forecast.backlogs[runner] = backlog
	}
	return backlog
}

// forgetRemoved drops what is known of runners that no longer exist, once there are many of them.
func (forecast *forecast) forgetRemoved(runners []load.Runner) {
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

// ownWait is how many seconds the prompts that we sent to a runner still keep it.
func (forecast *forecast) ownWait(now time.Time, runner string) float64 {
	backlog := forecast.backlogs[runner]
	if backlog == nil {
		return 0
	}
	return backlog.wait(now)
}

// othersWait is how many seconds other daemons' prompts keep a runner: by its last report, which fades to what is
// usual.
func (forecast *forecast) othersWait(now time.Time, runner *load.Runner, usual PromptForecast) float64 {
	if runner.Reported.IsZero() {
		return usual.Wait
	}
	reported := float64(runner.OthersWaiting) * usual.Prefill
	age := now.Sub(runner.Reported).Seconds()
	return usual.Wait + (reported-usual.Wait)*math.Exp(-age/reportDecay)
}

// promptForecast forecasts how other daemons' prompts of a class keep each of some runners.
func (forecast *forecast) promptForecast(now time.Time, class *promptClass, daemons, runners int) PromptForecast {
	utilization := forecast.utilization(now, class, daemons, runners)
	prefill := class.remainingPrefill()
	// The mean wait of a single queue that serves one prompt after the other.
	return PromptForecast{Wait: utilization / (1 - utilization) * prefill, Prefill: prefill}
}

// firstEvent records that the first event of a request came, so long after it was dispatched.
func (forecast *forecast) firstEvent(request *QueuedRequest, decision Decision, took time.Duration) {
	now := request.dispatched.Add(took)
	forecast.backlog(decision.Runner.ID).firstEvent(now, request, took.Seconds(), decision.Predicted.Seconds())
	forecast.learnSpeeds(request.Requirements.PromptTokens, decision.CachedTokens, took)
}

// learnSpeeds takes in how long the first event of a prompt took of which so many tokens were cached.
func (forecast *forecast) learnSpeeds(prompt, cached int, took time.Duration) {
	forecast.speeds.learn(prompt, cached, took.Seconds(), forecast.firstEvents)
	forecast.firstEvents++
}

// requestEnded records that a request left a runner, whether it was answered or not.
func (forecast *forecast) requestEnded(request *QueuedRequest, runner string) {
	if backlog := forecast.backlogs[runner]; backlog != nil {
		backlog.remove(request)
	}
}
