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
	// dialTimeout bounds a connection attempt, responseTimeout a request with its complete response.
	dialTimeout     = time.Second
	responseTimeout = 90 * time.Second
	// dialAttempts bounds the number of daemons that a client tries to connect to.
	dialAttempts = 5
	// idleConnections and idleTimeout bound the idle connections to a daemon.
	idleConnections = 64
	idleTimeout     = 5 * time.Second
	// rejectionBytes bounds the part of a refusal's body that is read.
	rejectionBytes = 64 << 10
)

// sender sends the requests of clients and reads the responses.
type sender struct {
	model string
	// pick returns the address of a daemon for a client in a zone, or "" if there is none.
	pick func(zone string) string
	http *http.Client
	// terms holds the newest terms that responses have contained.
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

// send sends a client's request and returns its outcome. If no connection could be made, it tries another daemon, since
// the first can't have read any of the request.
func (sender *sender) send(ctx context.Context, client drawnClient) *histories.ClientAttempt {
	record := client.request.NewAnswer(client.zone, time.Now())
	record.Resent = client.request.Attempt > 1
	connected, disconnect := context.WithCancel(ctx)
	defer disconnect()
	if client.disconnectDelay > 0 {
		timer := time.AfterFunc(client.disconnectDelay, disconnect)
		defer timer.Stop()
	}
	for range dialAttempts {
		record.Daemon = sender.pick(client.zone)
		if record.Daemon == "" || sender.attempt(connected, client.request, record) {
			break
		}
	}
	record.Got = time.Now()
	// The request returns as soon as its connection is closed, and on one machine the peer sees the close immediately.
	if connected.Err() != nil && !record.Done {
		record.ClientDisconnected, record.DisconnectedAt = true, record.Got
	}
	if record.Status == 0 {
		record.ConnectionLost = true
	}
	return record
}

// attempt sends a request to the record's daemon and reads the response. It returns false if no connection was made:
// then the daemon can't have read the request.
func (sender *sender) attempt(ctx context.Context, drawn Drawn, record *histories.ClientAttempt) bool {
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
	// The body has been read, so an error of Close loses no data.
	defer func() { _ = response.Body.Close() }()
	record.Status = response.StatusCode
	record.RetryAfter = response.Header.Get("Retry-After") != ""
	record.HeaderRunner = response.Header.Get(admission.HeaderRunner)
	sender.terms.learn(record.Zone, response.Header.Get(admission.HeaderTerm))
	if response.StatusCode == http.StatusOK {
		readEvents(response.Body, record)
		return true
	}
	// A body that can't be read completely is recorded as a refusal without the documented form.
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
	// Without GetBody, the HTTP client doesn't retry the request by itself.
	request.GetBody = nil
	for name, values := range drawn.Headers(sender.model) {
		for _, value := range values {
			request.Header.Add(name, value)
		}
	}
	return request, nil
}

// isDialError reports whether an error means that no connection was made.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// readEvents reads a stream to its end.
func readEvents(body io.Reader, record *histories.ClientAttempt) {
	reader, parser := bufio.NewReader(body), EventParser{Record: record}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			// Without its last event, the answer is incomplete, although some of it was read.
			if !record.Done && !record.Error {
				record.ConnectionLost = true
			}
			return
		}
		parser.ParseLine(time.Now(), strings.TrimRight(line, "\n"))
	}
}
