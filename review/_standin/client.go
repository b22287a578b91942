package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// answer is what a client saw of one request.
type answer struct {
	id, machine string
	sent, ended time.Time
	status      int
	header      http.Header
	body        string
	complete    bool
	err         error
	events      []int
	retry       string
}

// send sends one request on a new connection and reads its answer.
func (fleet *fleet) send(machine *machine, method, host, path string, deadline time.Duration, body string, headers ...string) *answer {
	result := &answer{id: fmt.Sprintf("a%07d", attempts.Add(1)), machine: machine.name}
	conn, err := net.DialTimeout("tcp", fleet.address(machine, portFront), time.Second)
	result.sent = time.Now()
	if err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Counts: 600,20\r\n"+
		"Prompt-Prefix: 5c1e07a2:300,%x:300\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n",
		method, path, host, result.id, attempts.Load(), deadline.Milliseconds(), len(body))
	for _, header := range headers {
		text += header + "\r\n"
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		result.err, result.ended = err, time.Now()
		return result
	}
	content, err := io.ReadAll(response.Body)
	result.status, result.header, result.body, result.err = response.StatusCode, response.Header, string(content), err
	result.complete, result.ended = err == nil, time.Now()
	for _, line := range strings.Split(result.body, "\n") {
		number := 0
		if _, err := fmt.Sscanf(line, "id: %d", &number); err == nil {
			result.events = append(result.events, number)
		}
	}
	return result
}

func (answer *answer) String() string {
	return fmt.Sprintf("%s at %s: status %d, complete %v, events %v, after %d ms, error %v", answer.id, answer.machine,
		answer.status, answer.complete, answer.events, answer.ended.Sub(answer.sent).Milliseconds(), answer.err)
}
