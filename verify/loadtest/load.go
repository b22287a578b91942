package loadtest

import (
	"context"
	"sync"
	"time"

	"wardtray/verify/histories"
)

// longestGap is the longest time between two looks at the rate.
const longestGap = time.Second

// Load sends a mix over HTTP, each request as a client of its own.
type Load struct {
	// Hot is the part (0 to 1) of the requests that carry one and the same opening.
	Hot float64
	// HangUps is the part (0 to 1) of the clients that close their connections at some moment, whatever they have got by
	// then.
	HangUps float64
	// Resends is the part (0 to 1) of the clients that send a request which runs at most once again, some seconds later
	// and to any zone, whatever became of the first sending.
	Resends float64

	record  *histories.History
	clients *clientSource
	sender  *sender
	waiting sync.WaitGroup
}

// New makes a load whose requests are drawn from a seed, and come from all zones. pick returns the address of a daemon
// for a client of a zone, and "" where there is none; the answers are added to the record.
func New(mix Mix, zones []string, pick func(zone string) string, record *histories.History, seed int64) *Load {
	return &Load{
		record:  record,
		clients: newClientSource(mix, zones, seed),
		sender:  newSender(mix.Model, pick),
	}
}

// Run sends so many requests a second, at random moments, until the context ends, then waits for all answers. The rate
// is asked anew for each request.
func (load *Load) Run(running context.Context, rate func() float64) {
	// Requests under way end by themselves when no more are sent.
	requests := context.WithoutCancel(running)
	for running.Err() == nil {
		timer := time.NewTimer(min(load.clients.gap(rate()), longestGap))
		select {
		case <-timer.C:
			load.serve(requests, load.clients.next(behavior{load.Hot, load.HangUps, load.Resends}))
		case <-running.Done():
			timer.Stop()
		}
	}
	load.waiting.Wait()
}

// serve begins the sendings of a client, each at its time.
func (load *Load) serve(ctx context.Context, client drawnClient) {
	client.request.Term = load.sender.terms.of(client.zone)
	load.waiting.Go(func() { load.send(ctx, client) })
	for index, resend := range client.resends {
		again := client.again(index+2, resend)
		load.waiting.Go(func() {
			time.Sleep(resend.after)
			load.send(ctx, again)
		})
	}
}

// send sends a client's request once and records the answer.
func (load *Load) send(ctx context.Context, client drawnClient) {
	answer := load.sender.send(ctx, client)
	load.record.Change(func(history *histories.History) { history.Answers = append(history.Answers, answer) })
}
