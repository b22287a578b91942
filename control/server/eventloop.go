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

// Run serves until the context ends. Then the node leaves: Run returns once others have taken over its duties, nobody
// is there to do so, or its grace is nearly over.
func (server *Server) Run(ctx context.Context) error {
	if server.settings.Diskless {
		server.log.Warn("no disk on this machine: standing by")
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
	server.leave(ticker)
	return apierror.Wrap(httpServer.Shutdown(), apierror.Internal, "closing the HTTP side")
}

// leave hands the node's duties over to others, and returns when that is done or its time is over.
func (server *Server) leave(ticker *time.Ticker) {
	leaveBy := time.Now().Add(timing.BoundsFor(nodeLimits(server.settings)).DecommissionTimeout)
	server.log.Info("leaving")
	server.step(func(now time.Time) { server.node.Decommission(now) })
	for {
		<-ticker.C
		server.tick()
		if time.Now().After(leaveBy) || server.hasLeft() {
			server.log.Info("stopped", "left", server.hasLeft())
			return
		}
	}
}

// hasLeft reports whether nothing depends on the node any more.
func (server *Server) hasLeft() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.node.IsDecommissioned(time.Now())
}

// tick lets the node act on the time that has passed.
func (server *Server) tick() {
	server.step(func(now time.Time) { server.node.Tick(now) })
}

// writesSynced notifies the node that its writes up to a sequence number are on disk.
func (server *Server) writesSynced(sequence uint64) {
	server.step(func(now time.Time) { server.node.Synced(now, sequence) })
}

// diskFailed notifies the node that its disk failed.
func (server *Server) diskFailed(err error) {
	server.log.Error("disk failed", "cause", err.Error())
	server.step(func(now time.Time) { server.node.DiskFailed(now) })
}

// step runs one step of the node under its lock, and hands on the messages and the writes that it leaves.
func (server *Server) step(do func(now time.Time)) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	do(time.Now())
	messages, writes := server.node.Ready()
	server.transport.Send(messages)
	for _, write := range writes {
		if !server.writes.Offer(write) {
			// A disk this far behind is as good as failed, and waiting here would stop the whole node.
			server.node.DiskFailed(time.Now())
		}
	}
	server.logView(server.node.View())
}

// logView logs a view that differs from the last one.
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
