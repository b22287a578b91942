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

// Whatever another process sends, a daemon goes on: it does not panic, and its own messages can be written.
func FuzzReceive(fuzz *testing.F) {
	for _, sample := range wiretest.Envelopes() {
		content, err := frame.Encode(sample.Envelope)
		if err != nil {
			fuzz.Fatal(err)
		}
		fuzz.Add(content)
		fuzz.Add(append(content, content...))
	}
	news, err := frame.Encode(document(&testing.T{}, 7))
	if err != nil {
		fuzz.Fatal(err)
	}
	fuzz.Add(news)
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		for _, registered := range []bool{false, true} {
			controller := New(started, Settings{Address: "d0", Zone: "a", Seeds: []string{"127.0.0.1:1"}, Registered: registered}, rand.New(rand.NewSource(1)))
			controller.Receive(started, document(t, 3))
			receiveAll(t, controller, content)
		}
	})
}

// receiveAll lets a daemon receive all frames of a stream, and tick after each and at the end.
func receiveAll(t *testing.T, controller *Controller, content []byte) {
	t.Helper()
	now, reader := started, bufio.NewReader(bytes.NewReader(content))
	for whole := true; whole; {
		envelope, _, err := frame.Decode(reader)
		if whole = err == nil; whole {
			controller.Receive(now, envelope)
		}
		now = now.Add(100 * time.Millisecond)
		controller.Tick(now)
		for _, parcel := range controller.Drain() {
			if _, err := frame.Encode(parcel.Envelope); err != nil {
				t.Fatal(err)
			}
		}
	}
}
