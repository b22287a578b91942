package proxy

import (
	"context"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

// clientConnection follows the connection of a request's client for as long as the request lives.
//
// Why one context for all waits: whatever the request waits for, the departure of the client ends it at once.
type clientConnection struct {
	netio.Client
	// ctx ends when the client has left, which leave brings about, or when the request is finished.
	ctx   context.Context
	leave context.CancelFunc
	// stopWatch ends the watch of the connection.
	stopWatch func()
}

// watchClient watches a client's connection until close.
func watchClient(client netio.Client) *clientConnection {
	ctx, leave := context.WithCancel(context.Background())
	return &clientConnection{Client: client, ctx: ctx, leave: leave, stopWatch: client.OnDisconnect(leave)}
}

// unwatchedClient is the connection of a client that waits for a short computation only.
func unwatchedClient(client netio.Client) *clientConnection {
	nothing := func() {}
	return &clientConnection{Client: client, ctx: context.Background(), leave: nothing, stopWatch: nothing}
}

// hasLeft reports whether the client is known to have left.
func (connection *clientConnection) hasLeft() bool { return connection.ctx.Err() != nil }

// isPresent looks at the connection itself, and is called directly before bytes go out to a runner.
//
// Why the watch alone does not do: after a freeze, or where a request was read after its client's close, the request
// may get here before the watch has been notified.
func (connection *clientConnection) isPresent() bool {
	if !connection.hasLeft() && connection.Disconnected() {
		connection.leave()
	}
	return !connection.hasLeft()
}

// close ends the watch; the next request may come on the connection now.
func (connection *clientConnection) close() {
	connection.stopWatch()
	connection.leave()
}

// errClientLeft is the error of a request that nobody waits for.
func errClientLeft() error {
	return apierror.New(apierror.ClientDisconnected, "the requester has closed its connection")
}
