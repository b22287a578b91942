// Package server runs one control node as a process: the lock that serializes the steps of its state machine, its
// ticks, its disk, its connections to other nodes, and its HTTP server for operators and runners.
//
// Every step of the node runs under one lock and ends by handing its messages to the transport and its writes to the
// write queue; nothing waits for the network or the disk while the lock is held. An HTTP handler submits a request to
// the node in a step, releases the lock, and then waits for the response.
package server

import (
	crypto "crypto/rand"
	"encoding/hex"
	"log/slog"
	"math/rand"
	"sync"
	"time"

	"github.com/fasthttp/router"

	"wardtray/apierror"
	"wardtray/config/process"
	"wardtray/control/node"
	"wardtray/control/storage"
	"wardtray/control/timing"
	"wardtray/coordination/quota"
	"wardtray/coordination/snapshot"
	"wardtray/randomseed"
	"wardtray/transport"
	"wardtray/wire"
)

const (
	// writeQueueLength is the number of writes that may wait for the disk before it counts as failed.
	writeQueueLength = 4096
	// recoveryTimeout is the time for which a start retries recovery while the disk fails.
	recoveryTimeout = 5 * time.Second
	// folderMode is the file mode of a data folder that the process creates.
	folderMode = 0o750
	// setAsideFormat is the time layout in the name under which untrusted content of the data folder is set aside.
	setAsideFormat = "20060102T150405"
	// idBytes is the number of random bytes in an id.
	idBytes = 12
)

// Server runs a control node as a process.
type Server struct {
	// Mount, if set, adds routes to the server's own. It is called once, before the HTTP server starts.
	Mount func(routes *router.Router, server *Server)

	settings  *process.Settings
	log       *slog.Logger
	transport *transport.Transport
	writes    *storage.WriteQueue
	store     *snapshot.Store
	started   time.Time

	// mutex is held during each step of the node. It guards node and lastView.
	mutex    sync.Mutex
	node     *node.Node
	lastView uint64
}

// New opens the data folder and recovers the node from it. Nothing is sent or served before Run. If the settings are
// Diskless, for a machine without a disk, the server does nothing but wait until it is stopped.
func New(settings *process.Settings, log *slog.Logger) (*Server, error) {
	// A node without durable state must neither vote nor count as a replica. It stays up, since the process would be
	// restarted again and again if it exited.
	if settings.Diskless {
		return &Server{settings: settings, log: log}, nil
	}
	recovery, err := recoverState(settings, log)
	if err != nil {
		return nil, err
	}
	server := &Server{
		settings: settings,
		log:      log,
		store:    recovery.Store,
		writes:   storage.NewWriteQueue(writeQueueLength),
		started:  time.Now(),
	}
	configuration := nodeSettings(settings)
	if err := configuration.Limits.Check(); err != nil {
		log.Warn("the time limits are too short to be met after every failure; running with them", "cause", err.Error())
	}
	random := rand.New(rand.NewSource(randomseed.New()))
	server.node = node.New(time.Now(), configuration, recovery.State, recovery.Records, random)
	server.transport = transport.New(settings.Address, settings.Zone, server.receive, server.connectionRefused)
	return server, nil
}

// recoverState recovers the node's state from its data folder, which it creates if there is none.
func recoverState(settings *process.Settings, log *slog.Logger) (storage.Recovery, error) {
	if err := snapshot.MakeDirectory(settings.Folder, folderMode); err != nil {
		return storage.Recovery{}, apierror.Wrap(err, apierror.DiskFailed, "creating the data folder")
	}
	recovery, err := storage.RecoverWithin(recoveryTimeout, func() (storage.Recovery, error) {
		mark := time.Now().UTC().Format(setAsideFormat)
		return storage.Recover(snapshot.Directory(settings.Folder), newID, mark)
	})
	if err != nil {
		return storage.Recovery{}, err
	}
	if recovery.DiscardCause != nil {
		log.Error("the stored state can't be trusted and is set aside; this machine joins as a new one",
			"cause", recovery.DiscardCause.Error())
	}
	if recovery.HasNewIdentity {
		log.Info("the data folder is blank; this machine starts with a new identity", "id", recovery.State.Id)
	}
	return recovery, nil
}

// nodeSettings derives the node's settings from those of the process.
func nodeSettings(settings *process.Settings) node.Settings {
	return node.Settings{
		Limits:          nodeLimits(settings),
		Address:         settings.Address,
		HTTP:            settings.HTTP,
		Zone:            settings.Zone,
		Seeds:           settings.Seeds,
		Founders:        settings.Founders,
		Founding:        !settings.Joins,
		Faults:          settings.Faults,
		RunnerHeartbeat: settings.HeartbeatTime(),
		Quotas: quota.Tolerance{
			Window: settings.QuotasWindow(),
			Excess: settings.Quotas.Excess,
			Slack:  settings.Quotas.Slack,
		},
	}
}

// nodeLimits returns the time limits that the node must keep.
func nodeLimits(settings *process.Settings) timing.Limits {
	return timing.Limits{
		Contact:     settings.ContactTime(),
		Acknowledge: settings.AcknowledgeTime(),
		Apply:       settings.ApplyTime(),
		CatchUp:     settings.CatchUpTime(),
		Grace:       settings.GraceTime(),
	}
}

// newID returns a random id, for a node or an operation.
func newID() string {
	var content [idBytes]byte
	if _, err := crypto.Read(content[:]); err != nil {
		panic(err) // Without randomness ids might repeat, which is worse than a crash.
	}
	return hex.EncodeToString(content[:])
}

// receive handles a message from another node or from a data daemon.
func (server *Server) receive(envelope *wire.Envelope) {
	server.step(func(now time.Time) { server.node.Receive(now, envelope) })
}

// connectionRefused handles a connection attempt, made at the time tried, that was refused at an address.
func (server *Server) connectionRefused(address string, tried time.Time) {
	server.step(func(now time.Time) { server.node.ConnectionRefused(now, address, tried) })
}
