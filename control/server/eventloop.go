package server

import (
	"context"
	"fmt"
	"time"

	"wardtray/apierror"
	"wardtray/control/timing"
	"wardtray/wire"
)

// tickInterval is the time between two ticks of the node.
const tickInterval = 50 * time.Millisecond

// Run serves until the context ends. Then it decommissions the node, and returns once other nodes have taken over its
// roles, no other node can do so, or the grace period is nearly over.
func (server *Server) Run(ctx context.Context) error {
	if server.settings.Diskless {
		server.log.Warn("this machine has no disk; the process runs no node and waits until it is stopped")
		<-ctx.Done()
		return nil
	}
	if err := server.transport.Listen(); err != nil {
		return err
	}
	defer server.transport.Close()
	httpServer, err := server.listenHTTP(ctx)
	if err != nil {
		return err
	}
	server.log.Info("started", "id", server.node.Self().Id, "view", server.node.View().Epoch)
	go server.writes.Run(server.store, server.writesSynced, server.diskFailed)
	server.tick()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			server.tick()
		case <-ctx.Done():
		}
	}
	server.decommission(ticker)
	return apierror.Wrap(httpServer.Shutdown(), apierror.Internal, "shutting down the HTTP server")
}

// decommission hands the node's roles over to other nodes. It returns when that is done or its timeout is over.
func (server *Server) decommission(ticker *time.Ticker) {
	deadline := time.Now().Add(timing.BoundsFor(nodeLimits(server.settings)).DecommissionTimeout)
	server.log.Info("stopping: the node hands its roles over to other nodes")
	server.step(func(now time.Time) { server.node.Decommission(now) })
	for {
		<-ticker.C
		server.tick()
		if time.Now().After(deadline) || server.isDecommissioned() {
			server.log.Info("stopped", "left", server.isDecommissioned())
			return
		}
	}
}

// isDecommissioned reports whether nothing depends on the node any more.
func (server *Server) isDecommissioned() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.node.IsDecommissioned(time.Now())
}

// tick has the node handle timeouts and periodic work that are due.
func (server *Server) tick() {
	server.step(func(now time.Time) { server.node.Tick(now) })
}

// writesSynced notifies the node that its writes up to a sequence number are on disk.
func (server *Server) writesSynced(sequence uint64) {
	server.step(func(now time.Time) { server.node.Synced(now, sequence) })
}

// diskFailed notifies the node that its disk failed.
func (server *Server) diskFailed(err error) {
	server.log.Error("the disk failed; the node writes its complete state again", "cause", err.Error())
	server.step(func(now time.Time) { server.node.DiskFailed(now) })
}

// step runs one step of the node under its lock, and hands over the resulting messages and writes.
func (server *Server) step(do func(now time.Time)) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	do(time.Now())
	messages, writes := server.node.Ready()
	server.transport.Send(messages)
	for _, write := range writes {
		if !server.writes.Offer(write) {
			// A disk with a full queue counts as failed: waiting for it here would block every step of the node.
			server.node.DiskFailed(time.Now())
		}
	}
	server.logView(server.node.View())
}

// logView logs a view if it is not the last logged one.
func (server *Server) logView(view *wire.View) {
	if view.Epoch == server.lastView {
		return
	}
	server.lastView = view.Epoch
	addresses := make([]string, 0, len(view.Chain))
	for _, member := range view.Chain {
		addresses = append(addresses, member.Address)
	}
	server.log.Info("new view", "view", view.Epoch, "chain", fmt.Sprint(addresses))
}
