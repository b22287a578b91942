package proxy

import (
	"testing"

	"wardtray/apierror"
)

// watchedClient is a client whose disconnect the test triggers.
type watchedClient struct {
	disconnectedClient
	disconnected bool
	notify       func()
	stopped      int
}

func (client *watchedClient) Disconnected() bool { return client.disconnected }

func (client *watchedClient) OnDisconnect(disconnected func()) (stop func()) {
	client.notify = disconnected
	return func() { client.stopped++ }
}

func TestClientConnection(t *testing.T) {
	connected := &watchedClient{}
	connection := watchClient(connected)
	if connection.hasDisconnected() || !connection.checkConnected() {
		t.Error("a connected client is reported as disconnected")
	}
	connected.notify()
	if !connection.hasDisconnected() || connection.checkConnected() {
		t.Error("the client is reported as connected after the watch was notified of its disconnect")
	}

	early := &watchedClient{disconnected: true}
	connection = watchClient(early)
	if connection.hasDisconnected() {
		t.Error("a disconnect is reported before the watch was notified or the connection inspected")
	}
	if connection.checkConnected() || !connection.hasDisconnected() {
		t.Error("a client with a closed connection is reported as connected")
	}
	connection.close()
	if early.stopped != 1 {
		t.Errorf("the watch was stopped %d times", early.stopped)
	}
	if !apierror.Is(errClientDisconnected(), apierror.ClientDisconnected) {
		t.Error(errClientDisconnected())
	}
}

func TestUnwatchedClientStays(t *testing.T) {
	connection := unwatchedClient(&watchedClient{})
	connection.cancel()
	if connection.hasDisconnected() {
		t.Error("an unwatched client is reported as disconnected")
	}
	connection.close()
}
