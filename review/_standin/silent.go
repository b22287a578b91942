package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	hostManifests    = "novo13.example"
	pathManifests    = "/gono990/"
	manifestDeadline = 20 * time.Second
	longPutBack      = 1800 * time.Millisecond
	graceTime        = 8 * time.Second
	// fewSlots is the number of requests that a runner of this case works on at a time. It takes seven connections for
	// each of them, as the site's runners do.
	fewSlots       = 6
	fewConnections = 42
	runnersOfCase  = 3
	// streamsEach is the number of streams that each daemon sends, which take the runners' places; waitingEach is the
	// number of requests that each sends afterwards, which wait in the runners' queues.
	streamsEach = 4
	waitingEach = 6
)

func manifests() dict {
	return dict{"label": "r-manifest", "authority": hostManifests, "pathPrefix": pathManifests, "routeClass": "streaming",
		"deadlineMs": 20000, "targetMs": 1000, "rank": 1, "backend": serviceOld, "maxTries": 1, "affine": true,
		"resumable": false, "gapTargetMs": 300}
}

// silentStream: every data daemon gets SIGTERM in turn, each while streams that can't be resumed run at busy runners, which put them back for
// 1.8 s in their middle; other requests wait in the runners' queues. The disruption: the runners reset new
// connections while their queues are long.
func silentStream(fleet *fleet, trouble bool) (int, error) {
	document := dict{"routes": []any{manifests()}, "backends": []any{backend(serviceOld, fewSlots, fewConnections)},
		"limits": limits()}
	if _, err := fleet.configure(document, 20*time.Second); err != nil {
		return failed, err
	}
	serve := func(run *run) bool {
		pauses := map[int]time.Duration{}
		if isPath(run, "late") {
			pauses[3] = longPutBack
		}
		return run.stream(streamEvents, 30*time.Millisecond, pauses)
	}
	for number := range runnersOfCase {
		made, err := newRunner(fleet, number, fewSlots, serviceOld, fleet.cores()[number%3].zone, serve)
		if err != nil {
			return failed, err
		}
		made.fewerConnections.Store(trouble)
	}
	if err := fleet.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(8 * time.Second)
	cut, passed := 0, 0
	for _, machine := range fleet.machines {
		cutOfRound, passedOfRound := silentRound(fleet, machine)
		cut, passed = cut+cutOfRound, passed+passedOfRound
		<-machine.data.done
		fleet.line("%s has ended and starts again", machine.data.name)
		var err error
		if machine.data, err = fleet.launch(machine, "wtdata", false); err != nil {
			return failed, err
		}
		if err := fleet.awaitReady(10 * time.Second); err != nil {
			return failed, err
		}
		time.Sleep(2 * time.Second)
	}
	fleet.line("%d of %d streams that were passed on to a runner were cut without a complete answer", cut, passed)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}

// silentRound sends a crowd of requests through all daemons and stops one of them. It returns how many of the streams
// that this daemon had taken before were cut without a complete answer, well before its time to stop was half over.
func silentRound(fleet *fleet, stopped *machine) (cut, passed int) {
	var answers []*answer
	mutex, group := sync.Mutex{}, sync.WaitGroup{}
	send := func(machine *machine, path string) {
		group.Go(func() {
			answer := fleet.send(machine, "POST", hostManifests, pathManifests+path, manifestDeadline, "a list")
			fleet.line("client, %s: %s", path, answer)
			mutex.Lock()
			defer mutex.Unlock()
			if machine == stopped && path == "late" {
				answers = append(answers, answer)
			}
		})
	}
	for range streamsEach {
		for _, machine := range fleet.machines {
			send(machine, "late")
		}
	}
	time.Sleep(100 * time.Millisecond)
	for range waitingEach {
		for _, machine := range fleet.machines {
			send(machine, "2f")
		}
	}
	time.Sleep(100 * time.Millisecond)
	terminated := time.Now()
	fleet.line("SIGTERM to %s", stopped.data.name)
	stopped.data.signal(syscall.SIGTERM)
	group.Wait()
	for _, answer := range answers {
		if answer.status == 200 {
			passed++
		}
		if isCut(answer) && answer.status == 200 && answer.ended.After(terminated) &&
			answer.ended.Before(terminated.Add(graceTime/2)) {
			cut++
		}
	}
	return cut, passed
}
