// Package loadtest has clients: seeded mixes of the two deployments, sent as separate streams.
package loadtest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

// Load sends a mix.
type Load struct {
	Mix    Mix
	Zones  []string
	Pick   func(zone string) string
	Record *histories.History
	// Hot is the part of requests that carry one and the same opening.
	Hot float64
	// HangUps is the part of the clients that close their connections at some moment, whatever they have got by then.
	HangUps float64

	mutex   sync.Mutex
	random  *rand.Rand
	number  int
	prefix  string
	client  *http.Client
	waiting sync.WaitGroup
}

// New makes a load whose requests are drawn from a seed.
func New(mix Mix, zones []string, pick func(zone string) string, record *histories.History, seed int64) *Load {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Load{Mix: mix, Zones: zones, Pick: pick, Record: record, random: rand.New(rand.NewSource(seed)),
		prefix: fmt.Sprintf("q%d", seed), client: &http.Client{Transport: transport, Timeout: 90 * time.Second}}
}

// Run sends so many requests a second, at random moments, until the context ends, then waits for all answers.
func (load *Load) Run(running context.Context, rate func() float64) {
	// Requests under way end by themselves when no more are sent.
	requests := context.WithoutCancel(running)
	for running.Err() == nil {
		load.mutex.Lock()
		gap := time.Duration(load.random.ExpFloat64() / max(0.1, rate()) * float64(time.Second))
		load.mutex.Unlock()
		timer := time.NewTimer(min(gap, time.Second))
		select {
		case <-timer.C:
			load.waiting.Add(1)
			go func() {
				defer load.waiting.Done()
				load.sendOne(requests)
			}()
		case <-running.Done():
			timer.Stop()
		}
	}
	load.waiting.Wait()
}

// latestHangUp is how long after sending its request a client that leaves does so at the latest.
const latestHangUp = time.Second

// draw returns the next request, the zone that it comes from, and when its client leaves; 0: it stays.
func (load *Load) draw() (Drawn, string, time.Duration) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	load.number++
	zone := load.Zones[load.random.Intn(len(load.Zones))]
	drawn := load.Mix.Draw(load.random, load.Hot)
	drawn.ID = fmt.Sprintf("%s-%d", load.prefix, load.number)
	if load.HangUps > 0 && load.random.Float64() < load.HangUps {
		return drawn, zone, 1 + time.Duration(load.random.Int63n(int64(latestHangUp)))
	}
	return drawn, zone, 0
}

func (load *Load) sendOne(ctx context.Context) {
	drawn, zone, leaves := load.draw()
	record := &histories.Answer{
		Request:       drawn.ID,
		Route:         drawn.Kind.Route,
		Once:          drawn.Kind.Once,
		LatencyTarget: drawn.Kind.LatencyTarget,
		Zone:          zone,
		Sent:          time.Now(),
		Resumable:     drawn.Kind.Resumable,
		Cancels:       drawn.Kind.Cancel || !drawn.Kind.Once,
		Bound:         drawn.TimeLimit(),
	}
	staying, leave := context.WithCancel(ctx)
	defer leave()
	if leaves > 0 {
		timer := time.AfterFunc(leaves, leave)
		defer timer.Stop()
	}
	// A client whose connection was never made may go to another daemon: nothing of it was read.
	for range 5 {
		record.Daemon = load.Pick(zone)
		if record.Daemon == "" {
			break
		}
		if load.send(staying, drawn, record) {
			break
		}
	}
	record.Got = time.Now()
	// The request returns as soon as its connection is closed, and on one machine the close is there at once.
	if staying.Err() != nil && !record.Done {
		record.HungUp, record.HungUpAt = true, record.Got
	}
	if record.Status == 0 {
		record.ConnectionLost = true
	}
	load.Record.Change(func(history *histories.History) { history.Answers = append(history.Answers, record) })
}

// send reports whether the request is finished; false means that it was surely not read.
func (load *Load) send(staying context.Context, drawn Drawn, record *histories.Answer) bool {
	request, err := http.NewRequestWithContext(staying, http.MethodPost, "http://"+record.Daemon+"/v1/stream",
		bytes.NewReader(drawn.Body()))
	if err != nil {
		return true
	}
	// A body that can't be taken again keeps the client from sending a request twice of its own accord.
	request.GetBody = nil
	for name, values := range drawn.Headers(load.Mix.Model) {
		for _, value := range values {
			request.Header.Add(name, value)
		}
	}
	response, err := load.client.Do(request)
	if err != nil {
		var operation *net.OpError
		if errors.As(err, &operation) && operation.Op == "dial" {
			return false
		}
		record.RequestSent = true
		return true
	}
	// The body was read; its close can lose nothing.
	defer func() { _ = response.Body.Close() }()
	record.RequestSent, record.Status = true, response.StatusCode
	record.RetryAfter = response.Header.Get("Retry-After") != ""
	record.Head = response.Header.Get(admission.HeaderRunner)
	if response.StatusCode != http.StatusOK {
		// What can't be read is no refusal as documented, and is found as such below.
		body, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
		ParseRejection(record, body)
		return true
	}
	load.events(response.Body, record)
	return true
}

// events reads a stream to its end.
func (load *Load) events(body io.Reader, record *histories.Answer) {
	reader, parser := bufio.NewReader(body), EventParser{Record: record}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			// A stream that ends without its last event is a broken answer, not a lost one: some of it was told.
			if !record.Done && !record.Error {
				record.ConnectionLost = true
			}
			return
		}
		parser.ParseLine(time.Now(), strings.TrimRight(line, "\n"))
	}
}
