package placement

import (
	"fmt"
	"math"
	"sort"
	"time"

	"wardtray/balancer/scheduler"
)

type order struct {
	route         RouteWork
	queuedRequest *scheduler.QueuedRequest
	started       time.Time
	answer        int
	held          int
	value         float64
	late          float64
	large         bool
	// sharedTokens are the tokens of the prompt's shared parts, window the window of time in which the request arrived.
	sharedTokens, window int
	sends                int
	firstAt              time.Time
}

// arrive lets clumps of requests come in a zone, in a wave.
func (fleet *fleet) arrive(zone int) {
	since := fleet.world.Now.Sub(fleet.started)
	if since > fleet.play.Length {
		return
	}
	const clump, swing, period = 3.0, 0.15, 11.0
	total := 0.0
	for _, route := range fleet.play.Deployment.Routes {
		total += route.Rate
	}
	zones := fleet.play.Deployment.Zones
	phase := since.Seconds()/period + float64(zone)/float64(zones)
	rate := total * fleet.play.Load / float64(zones) * (1 + swing*math.Sin(2*math.Pi*(phase)))
	fleet.world.After(time.Duration(fleet.random.ExpFloat64()*clump/rate*float64(time.Second)), func() {
		client := fleet.clients[fleet.random.Intn(len(fleet.clients)/zones)*zones+zone]
		for more := true; more; more = fleet.random.Float64() > 1/clump {
			fleet.world.After(time.Duration(fleet.random.Int63n(int64(10*time.Millisecond))),
				func() { fleet.request(client, total) })
		}
		fleet.arrive(zone)
	})
}

func (fleet *fleet) request(daemon *daemon, total float64) {
	routes := fleet.play.Deployment.Routes
	point, route := fleet.random.Float64()*total, routes[len(routes)-1]
	for _, candidate := range routes {
		if point -= candidate.Rate; point < 0 {
			route = candidate
			break
		}
	}
	weights := fleet.weights[route.Name]
	thing := sort.SearchFloat64s(weights, fleet.random.Float64()*weights[len(weights)-1])
	if fleet.middle() && route.Name == fleet.play.HotRoute && fleet.random.Float64() < fleet.play.Hot {
		thing = 7
	}
	chain := fleet.sizes[route.Name]
	parts, tokens := make([]string, 0, len(chain)+1), make([]int, 0, len(chain)+1)
	promptTokens := 0
	for place, sizes := range chain {
		here := thing % len(sizes)
		parts = append(parts, fmt.Sprint(route.Name, place, "-", here))
		tokens = append(tokens, sizes[here])
		promptTokens += sizes[here]
	}
	shared := promptTokens
	own := route.Prompt.draw(fleet.random)
	answer := route.Events.draw(fleet.random) * fleet.play.Deployment.Engine.Stride
	promptTokens += own
	drawn := prompt{append(parts, fmt.Sprint("own", fleet.random.Int63())), append(tokens, own)}
	size := float64(promptTokens + 10*answer)
	scale := min(4, 0.3+0.7*size/fleet.mean[route.Name])
	made := &order{
		route:   route,
		started: fleet.world.Now,
		answer:  answer,
		value:   route.Value * scale,
		late:    route.Late * scale,
		large:   size > fleet.largest[route.Name],

		sharedTokens: shared,
		window:       int(fleet.world.Now.Sub(fleet.started) / windowLength),
	}
	made.queuedRequest = newQueuedRequest(route.Name, 1, drawn, "", scheduler.Requirements{
		Value:         route.Value,
		LatencyTarget: route.LatencyTarget,
		Deadline:      route.Deadline,
		PromptTokens:  promptTokens,
		AnswerTokens:  answer,
		Rank:          route.Rank,
		Zone:          daemon.zone,
	})
	fleet.results.update(made.route.Name, func(earned *Earned) { earned.arrived(made) })
	daemon.budget.RecordRequest(fleet.world.Now)
	fleet.schedule(daemon, made)
}

// schedule gives a request to a daemon, at its arrival or for a retry.
func (fleet *fleet) schedule(daemon *daemon, made *order) {
	daemon.schedule(fleet.world.Now, made.queuedRequest, func(decision scheduler.Decision) {
		if decision.Kind == scheduler.Dispatch {
			fleet.dispatch(daemon, made, decision)
			return
		}
		fleet.results.update(made.route.Name, func(earned *Earned) { earned.Refused++ })
	})
}

// again sends a request once more, or gives it up.
func (fleet *fleet) again(daemon *daemon, made *order, step scheduler.Decision, free bool) {
	daemon.scheduler.Release(fleet.world.Now, made.queuedRequest, step.Runner.ID)
	made.queuedRequest.Requirements.ExcludedRunners[step.Runner.ID] = true
	made.sends++
	if made.sends > 3 || !free && !daemon.budget.AllowRetry(fleet.world.Now) {
		fleet.results.update(made.route.Name, func(earned *Earned) { earned.Failed++ })
		return
	}
	fleet.schedule(daemon, made)
}

// send is one request at one runner.
type send struct {
	fleet  *fleet
	daemon *daemon
	made   *order
	step   scheduler.Decision
	batch  *batch
	at     time.Time
}

func (fleet *fleet) dispatch(daemon *daemon, made *order, step scheduler.Decision) {
	world := fleet.world
	batch := fleet.batches[step.Runner.ID]
	fleet.results.update(made.route.Name, func(earned *Earned) { earned.Sends++ })
	if batch == nil || batch.unresponsive {
		daemon.table.Eject(world.Now, step.Runner.ID, "unreachable")
		world.After(time.Millisecond, func() { fleet.again(daemon, made, step, true) })
		return
	}
	sent := &send{fleet: fleet, daemon: daemon, made: made, step: step, batch: batch, at: world.Now}
	daemon.scheduler.RequestSent(sent.at, made.queuedRequest, step)
	one := &sequence{
		job:     made,
		urgency: step.Urgency,
		prompt:  made.queuedRequest.Requirements.PromptTokens,
		first:   sent.first,
	}
	one.finished = func(complete bool) { sent.finished(one, complete) }
	if !batch.take(one) {
		daemon.scheduler.RequestRejected(sent.at, made.queuedRequest, step)
		fleet.again(daemon, made, step, false)
	}
}

// first takes the first event of an answer.
func (send *send) first() {
	fleet, daemon, made, batch := send.fleet, send.daemon, send.made, send.batch
	now := fleet.world.Now
	made.firstAt = now
	daemon.table.RequestSucceeded(batch.id)
	report := batch.report()
	report.MemoryTokens, report.UsedTokens = 0, 0
	daemon.table.RecordReport(now, batch.id, report)
	daemon.scheduler.FirstEventReceived(made.queuedRequest, send.step, now.Sub(send.at))
	reread := fleet.reread(made)
	fleet.results.update(made.route.Name, func(earned *Earned) {
		earned.First = append(earned.First, now.Sub(made.started))
		if batch.zone != daemon.zone {
			earned.CrossZone++
			earned.CrossZoneBytes += 1000 + float64(made.queuedRequest.Requirements.PromptTokens) + 80*float64(
				made.answer,
			)/float64(
				batch.figures.Stride,
			)
		}
		earned.RereadTokens += reread
	})
}

// reread counts the tokens of a prompt that some runner had read before and this one has read anew.
func (fleet *fleet) reread(made *order) int {
	reread, held := 0, made.held
	for place, key := range made.queuedRequest.Keys[:len(made.queuedRequest.Keys)-1] {
		if held -= made.queuedRequest.PartTokens[place]; held < 0 && fleet.cachedBlocks[key] {
			reread += made.queuedRequest.PartTokens[place]
		}
		fleet.cachedBlocks[key] = true
	}
	return reread
}

// finished takes the end of an answer, which is whole or not.
func (send *send) finished(one *sequence, complete bool) {
	fleet, daemon, made := send.fleet, send.daemon, send.made
	now := fleet.world.Now
	inTime := one.worstPause <= made.route.Pause && made.firstAt.Sub(made.started) <= made.route.LatencyTarget
	fleet.results.update(made.route.Name, func(earned *Earned) { earned.ended(made, complete, inTime) })
	if complete {
		daemon.scheduler.RequestCompleted(0, 0, now.Sub(send.at))
	} else if !one.began {
		daemon.table.Eject(now, send.batch.id, "gave no first event")
	}
	daemon.release(now, made.queuedRequest, send.batch.id)
}
