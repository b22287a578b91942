package main

import (
	"sync"
	"syscall"
	"time"
)

// heldStreams is the number of streams whose end is held up.
const heldStreams = 6

// heldEnd: a daemon gets SIGTERM while streams of a resumable route are at their end: the client has every event, and
// what is missing is the end of the body. The disruption: the runners put these requests back for 0.9 s before the end.
// All other runners are free.
func heldEnd(fleet *fleet, trouble bool) (int, error) {
	document := dict{"routes": []any{rulings(serviceOld)}, "backends": []any{backend(serviceOld, manySlots, 330)},
		"limits": limits()}
	if _, err := fleet.configure(document, 20*time.Second); err != nil {
		return failed, err
	}
	serve := func(run *run) bool {
		pauses := map[int]time.Duration{}
		if trouble && isPath(run, "late") && run.last == 0 {
			pauses[streamEvents+1] = putBack
		}
		return run.stream(streamEvents, 30*time.Millisecond, pauses)
	}
	for number := range 6 {
		if _, err := newRunner(fleet, number, manySlots, serviceOld, fleet.cores()[number%3].zone, serve); err != nil {
			return failed, err
		}
	}
	if err := fleet.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	stop, ordinary := background(fleet)
	time.Sleep(12 * time.Second) // The retry budgets grant their part of retrySlack after retryWindowS.
	stopped := fleet.machines[len(fleet.machines)-1]
	answers, group := make([]*answer, heldStreams), sync.WaitGroup{}
	for index := range heldStreams {
		group.Go(func() {
			answers[index] = fleet.send(stopped, "POST", hostRulings, pathRulings+"late", streamDeadline, "a claim")
			fleet.line("client: %s", answers[index])
		})
	}
	time.Sleep(100 * time.Millisecond)
	terminated := time.Now()
	fleet.line("SIGTERM to %s", stopped.data.name)
	stopped.data.signal(syscall.SIGTERM)
	group.Wait()
	close(stop)
	fleet.line("ordinary streams: %s", <-ordinary)
	cut := 0
	for _, answer := range answers {
		if isCut(answer) && answer.status == 200 && answer.ended.After(terminated) &&
			answer.ended.Before(terminated.Add(graceTime/2)) && answer.ended.Sub(answer.sent) < streamDeadline {
			cut++
		}
	}
	fleet.line("%d of %d streams that were passed on to a runner were cut without a complete answer", cut, len(answers))
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
