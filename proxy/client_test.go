package proxy

import (
	"testing"

	"wardtray/apierror"
)

// watchedClient is a client whose departure a test brings about.
type watchedClient struct {
	disconnectedClient
	left    bool
	notify  func()
	stopped int
}

func (client *watchedClient) Disconnected() bool { return client.left }

func (client *watchedClient) OnDisconnect(left func()) (stop func()) {
	client.notify = left
	return func() { client.stopped++ }
}

func TestClientConnection(t *testing.T) {
	stays := &watchedClient{}
	connection := watchClient(stays)
	if connection.hasDisconnected() || !connection.checkConnected() {
		t.Error("a client that stays has left")
	}
	stays.notify()
	if !connection.hasDisconnected() || connection.checkConnected() {
		t.Error("the watch says that the client left, and it is present")
	}

	quick := &watchedClient{left: true}
	connection = watchClient(quick)
	if connection.hasDisconnected() {
		t.Error("left before anybody looked")
	}
	if connection.checkConnected() || !connection.hasDisconnected() {
		t.Error("a client is present whose connection is closed")
	}
	connection.close()
	if quick.stopped != 1 {
		t.Errorf("the watch was stopped %d times", quick.stopped)
	}
	if !apierror.Is(errClientDisconnected(), apierror.ClientDisconnected) {
		t.Error(errClientDisconnected())
	}
}

func TestUnwatchedClientStays(t *testing.T) {
	connection := unwatchedClient(&watchedClient{})
	connection.cancel()
	if connection.hasDisconnected() {
		t.Error("left")
	}
	connection.close()
}
