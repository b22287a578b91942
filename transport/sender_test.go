package transport

import (
	"bufio"
	"testing"
	"time"

	"wardtray/transport/frame"
	"wardtray/wire"
)

// A sender that can't reach its address drops everything queued for it and reports the refusal.
func TestSenderDropsWhatCannotBeSent(t *testing.T) {
	refused := make(chan string, 1)
	transport := New(free(t), "a", nil, func(address string, _ time.Time) { refused <- address })
	t.Cleanup(transport.Close)
	queue := make(chan *wire.Envelope, queueLength)
	queue <- &wire.Envelope{}
	queue <- &wire.Envelope{}
	address := free(t)
	newSender(transport, address, queue).send(&wire.Envelope{})
	if dropped := transport.Counters.Dropped.Load(); dropped != 3 || len(queue) != 0 {
		t.Errorf("%d dropped, %d still queued", dropped, len(queue))
	}
	if found := within(t, refused, "the refusal"); found != address {
		t.Errorf("%s was refused instead of %s", found, address)
	}
}

// Frames are flushed once no other envelope is queued.
func TestSenderFlushesWithTheLastEnvelope(t *testing.T) {
	listener := listenTCP(t)
	transport := New(free(t), "a", nil, nil)
	t.Cleanup(transport.Close)
	queue := make(chan *wire.Envelope, queueLength)
	sender := newSender(transport, listener.Addr().String(), queue)
	t.Cleanup(sender.disconnect)
	queue <- &wire.Envelope{Epoch: 2}
	sender.send(&wire.Envelope{Epoch: 1})
	if sender.writer.Buffered() == 0 {
		t.Error("flushed before the last envelope")
	}
	sender.send(<-queue)
	if sender.writer.Buffered() != 0 {
		t.Error("not flushed with the last envelope")
	}
	connection, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() }) // The test is over.
	reader := bufio.NewReader(connection)
	for want := range uint64(2) {
		if envelope, _, err := frame.Decode(reader); err != nil || envelope.Epoch != want+1 {
			t.Fatalf("%v, %v", envelope, err)
		}
	}
}
