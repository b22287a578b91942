package loadtest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

const (
	// dialTimeout bounds a connection attempt, responseTimeout a whole request.
	dialTimeout     = time.Second
	responseTimeout = 90 * time.Second
	// dialAttempts is to how many daemons a client goes until a connection is made.
	dialAttempts = 5
	// idleConnections and idleTimeout bound the connections to a daemon that are kept.
	idleConnections = 64
	idleTimeout     = 5 * time.Second
	// rejectionBytes is how much of a refusal's body is read.
	rejectionBytes = 64 << 10
)

// sender sends requests of clients and reads their answers.
type sender struct {
	model string
	// pick returns the address of a daemon for a client of a zone, "" where there is none.
	pick func(zone string) string
	http *http.Client
	// terms are the newest that answers have named.
	terms *terms
}

func newSender(model string, pick func(zone string) string) *sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &sender{model: model, pick: pick, http: &http.Client{Transport: transport, Timeout: responseTimeout},
		terms: newTerms()}
}

// send sends a client's request and returns what became of it. A client whose connection was never made may go to
// another daemon: nothing of its request was read.
func (sender *sender) send(ctx context.Context, client drawnClient) *histories.Answer {
	record := client.request.NewAnswer(client.zone, time.Now())
	record.Resent = client.request.Attempt > 1
	staying, leave := context.WithCancel(ctx)
	defer leave()
	if client.hangsUpAfter > 0 {
		timer := time.AfterFunc(client.hangsUpAfter, leave)
		defer timer.Stop()
	}
	for range dialAttempts {
		record.Daemon = sender.pick(client.zone)
		if record.Daemon == "" || sender.attempt(staying, client.request, record) {
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
	return record
}

// attempt sends a request to the record's daemon and reads the answer; false means that the request was surely not
// read.
func (sender *sender) attempt(ctx context.Context, drawn Drawn, record *histories.Answer) bool {
	request, err := sender.newRequest(ctx, drawn, record.Daemon)
	if err != nil {
		return true
	}
	response, err := sender.http.Do(request)
	if isDialError(err) {
		return false
	}
	record.RequestSent = true
	if err != nil {
		return true
	}
	// The body was read; its close can lose nothing.
	defer func() { _ = response.Body.Close() }()
	record.Status = response.StatusCode
	record.RetryAfter = response.Header.Get("Retry-After") != ""
	record.Head = response.Header.Get(admission.HeaderRunner)
	sender.terms.learn(record.Zone, response.Header.Get(admission.HeaderTerm))
	if response.StatusCode == http.StatusOK {
		readEvents(response.Body, record)
		return true
	}
	// What can't be read is no refusal as documented, and is recorded as such.
	body, _ := io.ReadAll(io.LimitReader(response.Body, rejectionBytes))
	ParseRejection(record, body)
	return true
}

func (sender *sender) newRequest(ctx context.Context, drawn Drawn, daemon string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+"/v1/stream",
		bytes.NewReader(drawn.Body()))
	if err != nil {
		return nil, err
	}
	// A body that can't be taken again keeps the HTTP client from sending a request twice of its own accord.
	request.GetBody = nil
	for name, values := range drawn.Headers(sender.model) {
		for _, value := range values {
			request.Header.Add(name, value)
		}
	}
	return request, nil
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readEvents reads a stream to its end.
func readEvents(body io.Reader, record *histories.Answer) {
	reader, parser := bufio.NewReader(body), EventParser{Record: record}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			// A stream that ends without its last event is a broken answer, not a lost one: some of it was read.
			if !record.Done && !record.Error {
				record.ConnectionLost = true
			}
			return
		}
		parser.ParseLine(time.Now(), strings.TrimRight(line, "\n"))
	}
}
