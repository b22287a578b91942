// Package corehost runs one node.Node as a process: its lock, its ticks, its disk, its sockets and
// its HTTP side.
package server

import (
	"context"
	crypto "crypto/rand"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"github.com/fasthttp/router"

	"wardtray/apierror"
	"wardtray/config/process"
	"wardtray/control/node"
	"wardtray/control/storage"
	"wardtray/coordination/quota"
	"wardtray/coordination/snapshot"
	"wardtray/randomseed"
	"wardtray/transport"
	"wardtray/wire"
)

const (
	tickEvery  = 50 * time.Millisecond
	diskLength = 4096
	// diskPatience is how long a start waits for a disk that refuses to keep what was read back from it.
	diskPatience = 5 * time.Second
)

// Server is the process.
type Server struct {
	// Mount, where it is set, opens further paths beside the product's own.
	Mount     func(routes *router.Router, host *Server)
	settings  *process.Settings
	log       *slog.Logger
	mutex     sync.Mutex
	node      *node.Node
	transport *transport.Transport
	writes    *storage.WriteQueue
	store     *snapshot.Store
	started   time.Time
	lastView  uint64
}

// New opens the data folder and restores the node. Nothing is sent or answered yet.
func New(settings *process.Settings, log *slog.Logger) (*Server, error) {
	// Who can't remember must neither vote nor count as a copy, and ending again and again helps nobody.
	if settings.Idle {
		return &Server{settings: settings, log: log}, nil
	}
	if err := snapshot.MakeDirectory(settings.Folder, 0o750); err != nil {
		return nil, apierror.Wrap(err, apierror.DiskFailed, "making the data folder")
	}
	restored, err := storage.RestoreWithin(diskPatience, func() (storage.Recovery, error) {
		return storage.Restore(snapshot.Directory(settings.Folder), identity, time.Now().UTC().Format("20060102T150405"))
	})
	if err != nil {
		return nil, err
	}
	if restored.Lost != nil {
		log.Error("memory can't be trusted; this machine joins as a new one", "cause", restored.Lost.Error())
	}
	if restored.Fresh {
		log.Info("blank folder; new identity", "id", restored.Memory.Id)
	}
	host := &Server{settings: settings, log: log, store: restored.Store, writes: storage.NewWriteQueue(diskLength), started: time.Now()}
	limits := limitsOf(settings)
	if err := limits.Check(); err != nil {
		log.Warn("the time limits are too short to be kept after every loss", "cause", err.Error())
	}
	host.node = node.New(time.Now(), node.Settings{Limits: limits, Address: settings.Address, HTTP: settings.HTTP, Zone: settings.Zone,
		Seeds: settings.Seeds, Founders: settings.Founders, Founding: !settings.Joins, Faults: settings.Faults, Heartbeat: settings.HeartbeatTime(),
		Quotas: quota.Tolerance{Window: settings.QuotasWindow(), Excess: settings.Quotas.Excess, Slack: settings.Quotas.Slack}}, restored.Memory, restored.Records, rand.New(rand.NewSource(randomseed.New())))
	host.transport = transport.New(settings.Address, settings.Zone, func(envelope *wire.Envelope) {
		host.step(func(now time.Time) { host.node.Receive(now, envelope) })
	}, func(address string, tried time.Time) {
		host.step(func(now time.Time) { host.node.Refused(now, address, tried) })
	})
	return host, nil
}

func limitsOf(settings *process.Settings) node.Limits {
	return node.Limits{Contact: settings.ContactTime(), Acknowledge: settings.AcknowledgeTime(), Apply: settings.ApplyTime(),
		CatchUp: settings.CatchUpTime(), Grace: settings.GraceTime()}
}

func identity() string {
	var bytes [12]byte
	if _, err := crypto.Read(bytes[:]); err != nil {
		panic(err) // An identity that might repeat is worse than no start.
	}
	return hex.EncodeToString(bytes[:])
}

// Run serves until the context ends, and then until others have taken over what this machine holds, nobody is there to
// do so, or its grace is nearly over.
func (host *Server) Run(running context.Context) error {
	if host.settings.Idle {
		host.log.Warn("no disk on this machine: standing by")
		<-running.Done()
		return nil
	}
	if err := host.transport.Listen(); err != nil {
		return err
	}
	defer host.transport.Close()
	server, err := host.serve()
	if err != nil {
		return err
	}
	host.log.Info("started", "id", host.node.Self().Id, "view", host.node.View().Epoch)
	go host.writes.Run(host.store, func(sequence uint64) {
		host.step(func(now time.Time) { host.node.Synced(now, sequence) })
	}, host.diskFailed)
	host.step(func(now time.Time) { host.node.Tick(now) })
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var leaveBy time.Time
	for {
		select {
		case <-ticker.C:
			host.step(func(now time.Time) { host.node.Tick(now) })
		case <-running.Done():
			if leaveBy.IsZero() {
				leaveBy = time.Now().Add(node.BoundsFor(limitsOf(host.settings)).Leave)
				host.log.Info("leaving")
				host.step(func(now time.Time) { host.node.Leave(now) })
			}
			<-ticker.C
			host.step(func(now time.Time) { host.node.Tick(now) })
		}
		if !leaveBy.IsZero() && (time.Now().After(leaveBy) || host.left()) {
			host.log.Info("stopped", "left", host.left())
			return apierror.Wrap(server.Shutdown(), apierror.Internal, "closing the HTTP side")
		}
	}
}

func (host *Server) left() bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return host.node.Left(time.Now())
}

// step runs one step of the node under its lock and hands on what it asks for.
func (host *Server) step(do func(now time.Time)) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	do(time.Now())
	parcels, writes := host.node.Drain()
	host.transport.Send(parcels)
	for _, write := range writes {
		if !host.writes.Offer(write) {
			// A disk this far behind is as good as failed, and waiting here would stop the whole node.
			host.node.DiskFailed(time.Now())
		}
	}
	if current := host.node.View(); current.Epoch != host.lastView {
		host.lastView = current.Epoch
		var members []string
		for _, member := range current.Chain {
			members = append(members, member.Address)
		}
		host.log.Info("new view", "view", current.Epoch, "chain", fmt.Sprint(members))
	}
}

// diskFailed notifies the node that its disk failed.
func (host *Server) diskFailed(err error) {
	host.log.Error("disk failed", "cause", err.Error())
	host.step(func(now time.Time) { host.node.DiskFailed(now) })
}
