package loadtest

import (
	"context"
	"sync"
	"time"

	"wardtray/verify/histories"
)

// maximumGap bounds the time for which Run waits with one value of the rate.
const maximumGap = time.Second

// Load sends a mix over HTTP, each request from a client of its own. Its exported fields default to 0 and are set
// before Run.
type Load struct {
	// HotShare is the share (0 to 1) of the requests whose prompts have the same prefix.
	HotShare float64
	// DisconnectShare is the share (0 to 1) of the clients that close their connections at a random time, whatever they
	// have received until then.
	DisconnectShare float64
	// RetryShare is the share (0 to 1) of the clients that retry their at-most-once requests within a few seconds, in any
	// zone and whatever the outcome of the first attempt.
	RetryShare float64

	record  *histories.History
	clients *clientSource
	sender  *sender
	waiting sync.WaitGroup
}

// New returns a load whose requests are generated from a seed and come from clients in all of the zones. pick returns
// the address of a daemon for a client in a zone, or "" if there is none; the answers are added to the record.
func New(mix Mix, zones []string, pick func(zone string) string, record *histories.History, seed int64) *Load {
	return &Load{
		record:  record,
		clients: newClientSource(mix, zones, seed),
		sender:  newSender(mix.Model, pick),
	}
}

// Run sends requests at random times until the context is done, then waits for all answers. It calls rate, which
// returns the mean number of requests per second, before each request and at least once per second.
func (load *Load) Run(running context.Context, rate func() float64) {
	// Requests in progress are not cancelled: Run waits for their answers.
	requests := context.WithoutCancel(running)
	for running.Err() == nil {
		timer := time.NewTimer(min(load.clients.gap(rate()), maximumGap))
		select {
		case <-timer.C:
			load.serve(requests, load.clients.next(behavior{load.HotShare, load.DisconnectShare, load.RetryShare}))
		case <-running.Done():
			timer.Stop()
		}
	}
	load.waiting.Wait()
}

// serve schedules all attempts of a client's request.
func (load *Load) serve(ctx context.Context, client drawnClient) {
	client.request.Term = load.sender.terms.of(client.zone)
	load.waiting.Go(func() { load.send(ctx, client) })
	for index, retry := range client.retries {
		retrying := client.withRetry(index+2, retry)
		load.waiting.Go(func() {
			time.Sleep(retry.after)
			load.send(ctx, retrying)
		})
	}
}

// send makes one attempt of a client's request and records the answer.
func (load *Load) send(ctx context.Context, client drawnClient) {
	attempt := load.sender.send(ctx, client)
	load.record.Change(func(history *histories.History) { history.Answers = append(history.Answers, attempt) })
}
