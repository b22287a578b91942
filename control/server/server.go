// Package server runs one control node as a process: the lock under which its state machine steps, its ticks, its disk,
// its connections to other nodes, and its HTTP side for operators and runners.
//
// Every step of the node happens under one lock and ends by handing its messages to the transport and its writes to
// the disk's queue; nothing waits for the network or the disk while the lock is held. HTTP handlers put a request to
// the node in a step and wait for its response outside of it.
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
	// writeQueueLength is how many writes may wait for the disk before it counts as failed.
	writeQueueLength = 4096
	// recoveryTimeout is how long a start waits for a disk that fails to keep what was read back from it.
	recoveryTimeout = 5 * time.Second
	// folderMode is the mode of a data folder that the process creates.
	folderMode = 0o750
	// setAsideFormat is the layout of the time under which untrusted content of the data folder is set aside.
	setAsideFormat = "20060102T150405"
	// idBytes is how many random bytes an id has.
	idBytes = 12
)

// Server is the process around a control node.
type Server struct {
	// Mount, where it is set, adds further routes beside the product's own. It is called once, before the HTTP side opens.
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

// New opens the data folder and recovers the node from it. Nothing is sent or served before Run. Where the settings say
// Diskless, for a machine without a disk, the server only stands by.
func New(settings *process.Settings, log *slog.Logger) (*Server, error) {
	// A node that can't remember must neither vote nor count as a replica, and to exit again and again helps nobody.
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
		log.Warn("the time limits are too short to be kept after every loss", "cause", err.Error())
	}
	random := rand.New(rand.NewSource(randomseed.New()))
	server.node = node.New(time.Now(), configuration, recovery.State, recovery.Records, random)
	server.transport = transport.New(settings.Address, settings.Zone, server.receive, server.connectionRefused)
	return server, nil
}

// recoverState recovers the node's state from its data folder, which is created if need be.
func recoverState(settings *process.Settings, log *slog.Logger) (storage.Recovery, error) {
	if err := snapshot.MakeDirectory(settings.Folder, folderMode); err != nil {
		return storage.Recovery{}, apierror.Wrap(err, apierror.DiskFailed, "making the data folder")
	}
	recovery, err := storage.RecoverWithin(recoveryTimeout, func() (storage.Recovery, error) {
		mark := time.Now().UTC().Format(setAsideFormat)
		return storage.Recover(snapshot.Directory(settings.Folder), newID, mark)
	})
	if err != nil {
		return storage.Recovery{}, err
	}
	if recovery.DiscardCause != nil {
		log.Error("memory can't be trusted; this machine joins as a new one", "cause", recovery.DiscardCause.Error())
	}
	if recovery.Fresh {
		log.Info("blank folder; new identity", "id", recovery.State.Id)
	}
	return recovery, nil
}

// nodeSettings returns the node's part of a process's settings.
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
		panic(err) // An id that might repeat is worse than no start.
	}
	return hex.EncodeToString(content[:])
}

// receive handles a message of another node or of a data daemon.
func (server *Server) receive(envelope *wire.Envelope) {
	server.step(func(now time.Time) { server.node.Receive(now, envelope) })
}

// connectionRefused handles that an address refused a connection that was tried at a time.
func (server *Server) connectionRefused(address string, tried time.Time) {
	server.step(func(now time.Time) { server.node.ConnectionRefused(now, address, tried) })
}
