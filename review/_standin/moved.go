package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	applyTime      = 2 * time.Second
	streamDeadline = 3 * time.Second
	serviceOld     = "tiket-llm"
	serviceNew     = "tiket-llm-next"
	hostRulings    = "wuny96.example"
	pathRulings    = "/bopu901/"
	streamEvents   = 6
	manySlots      = 48
	// putBack is the pause of a request that its runner puts back in the middle of its stream: longer than twice the
	// gapTargetMs of its route, and well under the silence after which a client gives a stream up (eight times it).
	putBack = 900 * time.Millisecond
)

func backend(label string, slots, connections int) dict {
	return dict{"label": label, "healthPath": "/health", "connLimit": connections, "protocol": "h1", "tls": false,
		"engine": dict{"slotCount": slots, "kvCapacity": 529555, "kvTokenBytes": 163840, "linkMbps": 260000.0, "stride": 4,
			"models": []any{dict{"label": "m"}}}}
}

func rulings(service string) dict {
	return dict{"label": "r-refund", "authority": hostRulings, "pathPrefix": pathRulings, "routeClass": "streaming",
		"deadlineMs": 3000, "targetMs": 500, "rank": 0, "backend": service, "maxTries": 2, "affine": true,
		"resumable": true, "gapTargetMs": 300}
}

func limits() dict {
	return dict{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerReadMs": 3000, "idleCutoffMs": 15000}
}

func configuration(service string) dict {
	return dict{"routes": []any{rulings(service)}, "backends": []any{backend(serviceOld, manySlots, 330), backend(serviceNew, manySlots, 330)},
		"limits": limits()}
}

// movedStream: streams of a resumable route run at the old service, and their runners put them back for 0.9 s in their
// middle. In calm times every one of them is completed. Beside a configuration that moves the route to another service
// (the disruption) they are cut.
func movedStream(fleet *fleet, trouble bool) (int, error) {
	if _, err := fleet.configure(configuration(serviceOld), 20*time.Second); err != nil {
		return failed, err
	}
	// Every first run of a request with "late" in its path is put back once; a run that goes on elsewhere is not.
	serve := func(run *run) bool {
		pauses := map[int]time.Duration{}
		if isPath(run, "late") && run.last == 0 {
			pauses[3] = putBack
		}
		return run.stream(streamEvents, 30*time.Millisecond, pauses)
	}
	for number, service := range []string{serviceOld, serviceOld, serviceOld, serviceOld, serviceOld, serviceOld,
		serviceNew, serviceNew, serviceNew, serviceNew, serviceNew, serviceNew} {
		if _, err := newRunner(fleet, number, manySlots, service, fleet.cores()[number%3].zone, serve); err != nil {
			return failed, err
		}
	}
	if err := fleet.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	stop, ordinary := background(fleet)
	time.Sleep(12 * time.Second) // The retry budgets grant their part of retrySlack after retryWindowS.
	calm := lateStreams(fleet, 12, "calm")
	time.Sleep(2 * time.Second)
	var sentAt, acknowledgedAt time.Time
	var err error
	moving := sync.WaitGroup{}
	moving.Go(func() {
		time.Sleep(250 * time.Millisecond) // The streams have their first two events.
		sentAt = time.Now()
		if trouble {
			acknowledgedAt, err = fleet.configure(configuration(serviceNew), 10*time.Second)
		} else {
			acknowledgedAt = time.Now()
		}
	})
	beside := lateStreams(fleet, 12, "beside the configuration")
	moving.Wait()
	if err != nil {
		return failed, err
	}
	time.Sleep(3 * time.Second)
	close(stop)
	others := <-ordinary
	fleet.line("ordinary streams: %s", others)
	return judgeMoved(fleet, calm, beside, sentAt, acknowledgedAt.Add(applyTime+time.Second)), nil
}

// judgeMoved compares, for each daemon, the streams that were cut beside the configuration, which is from its sending
// until applyMs and a second past its acknowledgement, with those that were cut in calm times.
func judgeMoved(fleet *fleet, calm, beside []*answer, from, until time.Time) int {
	cutCalm, cutBeside := map[string]int{}, map[string]int{}
	for _, answer := range calm {
		if isCut(answer) {
			cutCalm[answer.machine]++
		}
	}
	for _, answer := range beside {
		// The last three tenths of a request's time are left out.
		inTime := answer.ended.Sub(answer.sent) < streamDeadline*7/10
		if isCut(answer) && inTime && answer.ended.After(from) && answer.ended.Before(until) {
			cutBeside[answer.machine]++
		}
	}
	result, calmCuts, besideCuts := held, 0, 0
	for _, machine := range fleet.machines {
		calmCuts, besideCuts = calmCuts+cutCalm[machine.name], besideCuts+cutBeside[machine.name]
		if cutBeside[machine.name] > 3*cutCalm[machine.name] {
			fleet.line("%s cut %d streams beside the configuration and %d at other times", machine.name,
				cutBeside[machine.name], cutCalm[machine.name])
			result = broken
		}
	}
	fleet.line("late streams cut without a complete answer: %d of %d in calm times, %d of %d beside the configuration",
		calmCuts, len(calm), besideCuts, len(beside))
	return result
}

// isCut reports whether the connection ended without a complete answer.
func isCut(answer *answer) bool { return answer.err != nil && !answer.complete }

// lateStreams sends a number of requests whose runners put them back, spread over the daemons.
func lateStreams(fleet *fleet, count int, when string) []*answer {
	answers := make([]*answer, count)
	group := sync.WaitGroup{}
	for index := range count {
		group.Go(func() {
			machine := fleet.machines[index%len(fleet.machines)]
			answers[index] = fleet.send(machine, "POST", hostRulings, pathRulings+"late", streamDeadline, "a claim")
			fleet.line("client, %s: %s", when, answers[index])
		})
	}
	group.Wait()
	return answers
}

// background sends ordinary requests, some 60 a second, until stop is closed; the result tells how they ended.
func background(fleet *fleet) (stop chan struct{}, ended chan string) {
	stop, ended = make(chan struct{}), make(chan string, 1)
	go func() {
		mutex, group, counts := sync.Mutex{}, sync.WaitGroup{}, map[string]int{}
		for number := 0; ; number++ {
			select {
			case <-stop:
				group.Wait()
				ended <- fmt.Sprint(counts)
				return
			case <-time.After(16 * time.Millisecond):
			}
			group.Go(func() {
				answer := fleet.send(fleet.machines[number%len(fleet.machines)], "POST", hostRulings, pathRulings+"2f", streamDeadline, "a claim")
				mutex.Lock()
				defer mutex.Unlock()
				counts[fmt.Sprintf("%d complete %v", answer.status, answer.complete)]++
			})
		}
	}()
	return stop, ended
}
