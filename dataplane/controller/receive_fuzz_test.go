package controller

import (
	"bufio"
	"bytes"
	"math/rand"
	"testing"
	"time"

	"wardtray/transport/frame"
	"wardtray/wire/wiretest"
)

// Whatever bytes another process sends, a daemon must not panic, and its own messages must be encodable.
func FuzzReceive(fuzz *testing.F) {
	for _, sample := range wiretest.Envelopes() {
		content, err := frame.Encode(sample.Envelope)
		if err != nil {
			fuzz.Fatal(err)
		}
		fuzz.Add(content)
		fuzz.Add(append(content, content...))
	}
	update, err := frame.Encode(document(fuzz, 7))
	if err != nil {
		fuzz.Fatal(err)
	}
	fuzz.Add(update)
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		for _, registered := range []bool{false, true} {
			settings := Settings{Address: "d0", Zone: "a", Seeds: []string{"127.0.0.1:1"}, Registered: registered}
			controller := New(started, settings, rand.New(rand.NewSource(1)))
			controller.Receive(started, document(t, 3))
			receiveAll(t, controller, content)
		}
	})
}

// receiveAll passes the valid frames at the start of a stream to a daemon, with a tick after each and at the end.
func receiveAll(t *testing.T, controller *Controller, content []byte) {
	t.Helper()
	now, reader := started, bufio.NewReader(bytes.NewReader(content))
	for valid := true; valid; {
		envelope, _, err := frame.Decode(reader)
		if valid = err == nil; valid {
			controller.Receive(now, envelope)
		}
		now = now.Add(100 * time.Millisecond)
		controller.Tick(now)
		for _, message := range controller.Ready() {
			if _, err := frame.Encode(message.Envelope); err != nil {
				t.Fatal(err)
			}
		}
	}
}
