package scale

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// runnerHeartbeat is how often a hollow runner calls a core.
const runnerHeartbeat = time.Second

// crowd is the hollow runners: each calls the cores in turn, as real ones do, and nothing else.
type crowd struct {
	cores   []string
	client  *fasthttp.Client
	mutex   sync.Mutex
	runners map[string]*hollowRunner
	stopped chan struct{}
	waiting sync.WaitGroup
	calls   atomic.Uint64
	failed  atomic.Uint64
}

type hollowRunner struct {
	id     string
	number int
	call   uint64
	gone   bool
	mutex  sync.Mutex
}

func newCrowd(cores []string) *crowd {
	return &crowd{cores: cores, runners: map[string]*hollowRunner{}, stopped: make(chan struct{}),
		client: &fasthttp.Client{MaxConnsPerHost: 64, ReadTimeout: 2 * time.Second, WriteTimeout: 2 * time.Second, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
}

// add begins a runner's life.
func (crowd *crowd) add(number, incarnation int) *hollowRunner {
	runner := &hollowRunner{id: fmt.Sprintf("runner-%05d-%d", number, incarnation), number: number}
	crowd.mutex.Lock()
	crowd.runners[runner.id] = runner
	crowd.mutex.Unlock()
	delay := time.Duration(0)
	if incarnation == 0 {
		delay = time.Duration(number) * runnerHeartbeat / perHeartbeat
	}
	crowd.waiting.Add(1)
	go crowd.live(runner, delay)
	return runner
}

// perHeartbeat is how many runners begin their lives in one beat.
const perHeartbeat = 300

// live calls until the runner is gone.
func (crowd *crowd) live(runner *hollowRunner, delay time.Duration) {
	defer crowd.waiting.Done()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-crowd.stopped:
			return
		case <-timer.C:
		}
		runner.mutex.Lock()
		gone := runner.gone
		runner.mutex.Unlock()
		if gone {
			return
		}
		crowd.say(runner, "ready")
		timer.Reset(runnerHeartbeat)
	}
}

// say makes one call and gives how long its acknowledgement took; a core that does not answer is left for
// the next one.
func (crowd *crowd) say(runner *hollowRunner, state string) (time.Duration, bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.call++
	zones := Zones()
	body := fmt.Sprintf(`{"address":"10.%d.%d.%d:9100","zone":%q,"service":"runners-%02d","slots":16,"state":%q,"call":%d}`,
		runner.number>>16&255, runner.number>>8&255, runner.number&255, zones[runner.number%len(zones)].Name, runner.number%36, state, runner.call)
	started := time.Now()
	for attempt := range crowd.cores {
		crowd.calls.Add(1)
		if crowd.put("PUT", crowd.cores[(runner.number+attempt)%len(crowd.cores)], runner.id, body) {
			return time.Since(started), true
		}
		crowd.failed.Add(1)
	}
	return time.Since(started), false
}

func (crowd *crowd) put(method, core, id, body string) bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + core + "/v1/runners/" + id)
	request.SetBodyString(body)
	return crowd.client.DoTimeout(request, response, 2*time.Second) == nil && response.StatusCode() == 200
}

// leave says that a runner drains, and ends it; it gives how long the acknowledgement took.
func (crowd *crowd) leave(runner *hollowRunner) (time.Duration, bool) {
	runner.mutex.Lock()
	runner.gone = true
	runner.mutex.Unlock()
	took, said := crowd.say(runner, "draining")
	crowd.put("DELETE", crowd.cores[runner.number%len(crowd.cores)], runner.id, "")
	crowd.mutex.Lock()
	delete(crowd.runners, runner.id)
	crowd.mutex.Unlock()
	return took, said
}

// some gives so many of the runners.
func (crowd *crowd) some(count int) []*hollowRunner {
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	var some []*hollowRunner
	for _, runner := range crowd.runners {
		if len(some) == count {
			break
		}
		some = append(some, runner)
	}
	return some
}

func (crowd *crowd) close() {
	close(crowd.stopped)
	crowd.waiting.Wait()
}

// know waits until every daemon that is asked knows so many runners.
func (fleet *fleet) know(phase *Phase, length time.Duration) (time.Duration, bool) {
	wanted := fleet.options.Runners
	took, whole := fleet.await(length, "runners are known", func() (bool, string) {
		report := fleet.order(Order{Verb: "sample"})
		return report.Least == wanted && report.Most == wanted, fmt.Sprintf("%d to %d of %d known", report.Least, report.Most, wanted)
	})
	if !whole {
		phase.Notes = append(phase.Notes, fmt.Sprintf("not every daemon asked knew %d runners after %.0f s", wanted, took.Seconds()))
	}
	return took, whole
}

// phaseRunners lets some runners leave one by one, then a rack of them come back under new identities.
func (fleet *fleet) phaseRunners(phase *Phase) {
	const leaving = 5
	if fleet.crowd == nil {
		phase.Notes = append(phase.Notes, "not measured: no registered runners")
		return
	}
	incarnation := int(time.Since(fleet.started).Milliseconds())
	replace := func(runners []*hollowRunner) {
		for _, runner := range runners {
			incarnation++
			fleet.crowd.add(runner.number, incarnation)
		}
	}
	left := fleet.crowd.some(leaving)
	for _, runner := range left {
		took, said := fleet.crowd.leave(runner)
		if !said {
			phase.Notes = append(phase.Notes, "a runner that leaves was not acknowledged")
			continue
		}
		phase.Figures["leave.most"] = max(phase.Figures["leave.most"], took.Seconds())
	}
	replace(left)
	took, _ := fleet.know(phase, 15*time.Second)
	phase.Figures["replaced.seconds"] = took.Seconds()
	phase.Figures["replaced.runners"] = float64(len(left))
}
