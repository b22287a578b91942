package proxy

import (
	"context"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

// clientConnection watches the connection of a request's client for the lifetime of the request.
//
// All waits share one context, so that a disconnect of the client ends any of them at once.
type clientConnection struct {
	netio.Client
	// ctx ends when the client disconnects or the request is finished. cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// stopWatch stops watching the connection.
	stopWatch func()
}

// watchClient watches a client's connection until close is called.
func watchClient(client netio.Client) *clientConnection {
	ctx, cancel := context.WithCancel(context.Background())
	return &clientConnection{Client: client, ctx: ctx, cancel: cancel, stopWatch: client.OnDisconnect(cancel)}
}

// unwatchedClient returns the connection of a client that only waits for a short computation.
func unwatchedClient(client netio.Client) *clientConnection {
	nothing := func() {}
	return &clientConnection{Client: client, ctx: context.Background(), cancel: nothing, stopWatch: nothing}
}

// hasDisconnected reports whether the client is known to have disconnected.
func (connection *clientConnection) hasDisconnected() bool { return connection.ctx.Err() != nil }

// checkConnected inspects the connection itself and reports whether the client is connected. It is called directly
// before bytes go out to a runner.
//
// The watch alone is not enough: after a freeze, or if a request was read after its client had closed the connection,
// the request may get here before the watch is notified.
func (connection *clientConnection) checkConnected() bool {
	if !connection.hasDisconnected() && connection.Disconnected() {
		connection.cancel()
	}
	return !connection.hasDisconnected()
}

// close stops watching the connection; the next request may arrive on it from now on.
func (connection *clientConnection) close() {
	connection.stopWatch()
	connection.cancel()
}

// errClientDisconnected returns the error of a request whose client has disconnected.
func errClientDisconnected() error {
	return apierror.New(apierror.ClientDisconnected, "the requester has closed its connection")
}
