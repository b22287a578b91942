package transport

import (
	"bufio"
	"testing"
	"time"

	"wardtray/transport/frame"
	"wardtray/wire"
)

// A sender that can't reach its address must drop everything queued for it, so that nothing waits for a dead peer, and
// report the refused connection.
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
		t.Errorf("%d envelopes dropped, %d still queued, want 3 and 0", dropped, len(queue))
	}
	if found := within(t, refused, "the refused connection"); found != address {
		t.Errorf("refused address %s, want %s", found, address)
	}
}

// A sender must batch frames while others are queued, and flush them with the last one: it must not wait for more.
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
		t.Error("the buffer was flushed while another envelope was queued")
	}
	sender.send(<-queue)
	if sender.writer.Buffered() != 0 {
		t.Error("the buffer was not flushed after the last envelope")
	}
	connection, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() }) // The test is over.
	reader := bufio.NewReader(connection)
	for want := range uint64(2) {
		if envelope, _, err := frame.Decode(reader); err != nil || envelope.Epoch != want+1 {
			t.Fatalf("received %v, %v", envelope, err)
		}
	}
}
