package netio

import (
	"context"
	"io"
	"testing"
	"time"
)

// Guards against requests that are ended because their runner reads nothing for a while. Its machine acknowledges what
// it receives but has no room for the rest of a long request; the operating system counts that as unacknowledged, and
// aborts a connection whose request it had accepted completely. The runner must still receive it.
func TestRequestThatIsReadLateArrives(t *testing.T) {
	// length is a request that the socket buffers of Linux accept, and that a runner's receive buffer can't hold.
	const length, silence = 2_500_000, 2 * time.Second
	listener := listen(t)
	timeouts := Timeouts{Dial: time.Second, Unacknowledged: time.Second}
	conn, err := Real(nil).Dial(context.Background(), listener.Addr().String(), timeouts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // The abort has closed it where the test fails.
	runner, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = runner.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout)) // The write reports a closed connection.
	if count, err := conn.Write(make([]byte, length)); err != nil {
		t.Fatalf("%d of %d bytes were accepted: %v", count, length, err)
	}
	<-time.After(silence)
	_ = runner.SetDeadline(time.Now().Add(testTimeout)) // The read reports a closed connection.
	if received, err := io.CopyN(io.Discard, runner, length); err != nil {
		t.Errorf("the runner received %d of %d bytes: %v", received, length, err)
	}
}
