// Package controller implements the part of a data daemon that talks to the control plane, as a pure state machine
// without I/O and without a clock.
//
// A Controller samples peers, receives the configuration document and the runners by gossip, requests leases from the
// head of the chain, and computes until when new requests may be dispatched. Its owner passes it messages and the time,
// and sends the messages that Ready returns.
//
// Requests may be dispatched while one of three conditions holds:
//   - The head granted a lease in response to a request that was sent less than Settings.LeaseDuration ago. The head
//     acknowledges no change before the holders of such leases have it.
//   - A majority of the acceptors confirmed, in response to such requests, that they have nothing newer. No change is
//     acknowledged before a majority of them has it and their earlier confirmations have expired.
//   - No control machine responds at all, and less than Settings.IsolationLimit has passed since the last lease.
//
// See docs/control.md.
package controller

import (
	"math/rand"
	"reflect"
	"time"

	"wardtray/config"
	"wardtray/coordination/election"
	"wardtray/coordination/gossip"
	"wardtray/coordination/lease"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/quota"
	"wardtray/coordination/registry"
	"wardtray/coordination/reservation"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

// Settings configures a controller.
type Settings struct {
	// Address is the address at which the daemon receives messages from other processes.
	Address string
	// HTTP is the address at which the daemon serves clients.
	HTTP string
	Zone string
	// Seeds are the addresses of control machines that are known from the start.
	Seeds []string
	// Registered is set if runners register themselves; otherwise the platform's list of runners is read.
	Registered bool
	// LeaseDuration is the duration of a lease or a confirmation, counted from its request; 0 means lease.DaemonTTL.
	LeaseDuration time.Duration
	// IsolationLimit is the time after its last lease for which a daemon that reaches no control machine at all continues
	// to serve with its current configuration; 0 disables that.
	IsolationLimit time.Duration
	// Quota holds the daemon's shares of the tenants' quotas, which the controller requests from the head; nil if the
	// daemon has none.
	Quota *quota.Limiter
	// ReservationsEnabled is set if at-most-once requests are reserved with other daemons, and this daemon holds
	// reservations for others. It is not set where clients never send a request again under the same id.
	ReservationsEnabled bool
	// OnDispatched is called when another daemon of the zone reports that it dispatched an at-most-once request with this
	// key, or dropped it without having executed it (dropped). It may be nil.
	OnDispatched func(now time.Time, key []byte, dropped bool)
}

// Counters counts the events in a controller since it was created.
type Counters struct {
	// Documents counts adopted configuration documents, InvalidDocuments those that were outdated or undecodable.
	Documents        uint64 `json:"Documents"`
	LeaseGrants      uint64 `json:"Ticks"`
	LeaseRequests    uint64 `json:"TickAsks"`
	Confirmations    uint64 `json:"Confirmations"`
	Polls            uint64 `json:"Polls"`
	OutdatedLists    uint64 `json:"OldLists"`
	InvalidDocuments uint64 `json:"OddDocuments"`
}

// Controller is the state machine of a daemon. It is not safe for concurrent use.
type Controller struct {
	settings      Settings
	outbox        *statemachine.Outbox
	partialView   *peersampling.PartialView
	gossip        *gossip.Store
	handlers      map[reflect.Type]func(now time.Time, envelope *wire.Envelope)
	configuration *configuration
	leases        *leases
	permission    *permission
	schedule      *requestSchedule
	pending       *pendingRequests
	runnerSync    *runnerSync
	runnerList    *runnerList
	quota         *quotaReporter
	reservations  *reservations
	// incarnation distinguishes this process from earlier ones at the same address.
	incarnation uint64
	draining    bool
	counters    Counters
}

// New returns a controller that has no configuration and may not dispatch yet.
func New(now time.Time, settings Settings, random *rand.Rand) *Controller {
	if settings.LeaseDuration == 0 {
		settings.LeaseDuration = lease.DaemonTTL
	}
	// The order of the random draws must stay the same, so that a simulation with the same seed repeats.
	incarnation, firstNonce := random.Uint64(), uint64(random.Int63())
	outbox := statemachine.NewOutbox()
	self := &wire.PeerDescriptor{Address: settings.Address, Zone: settings.Zone}
	controller := &Controller{
		settings:      settings,
		outbox:        outbox,
		partialView:   peersampling.New(self, settings.Seeds, outbox, random),
		configuration: &configuration{},
		pending:       newPendingRequests(firstNonce),
		incarnation:   incarnation,
	}
	controller.gossip = gossip.New(settings.Zone, outbox, random, controller.gossipPeers, controller.onGossipEntry)
	controller.leases = newLeases(settings.LeaseDuration, controller.configuration)
	controller.permission = newPermission(settings.IsolationLimit, controller.configuration, controller.leases)
	controller.schedule = newRequestSchedule(
		settings.Seeds, controller.partialView, controller.leases, controller.permission)
	controller.runnerSync = newRunnerSync(
		settings.Registered, settings.Seeds, registry.NewExchange(outbox), controller.leases, random)
	controller.runnerList = newRunnerList(
		settings.Zone, settings.Address, election.New(now, settings.Address), controller.gossip)
	controller.quota = newQuotaReporter(settings.Quota, controller.configuration, controller.leases)
	// Reservations have a source of their own, so that they do not change the draws of the other parts.
	reservationRandom := rand.New(rand.NewSource(int64(incarnation)))
	controller.reservations = newReservations(now, settings, incarnation, controller.configuration, outbox,
		reservationRandom, controller.reservationEnvironment())
	controller.registerHandlers()
	return controller
}

// reservationEnvironment returns the functions of the controller that reservations call.
func (controller *Controller) reservationEnvironment() reservation.Environment {
	return reservation.Environment{
		MayServe: func(now time.Time) bool { return now.Before(controller.Until(now)) },
		RequestMembership: func(now time.Time, from string) {
			if controller.reservations.mayRequestMembership(now) {
				controller.requestDocument(from)
			}
		},
	}
}

// Ready empties the outbox and returns its messages, with this daemon as their sender.
func (controller *Controller) Ready() []statemachine.Message {
	messages, _ := controller.outbox.Drain() // A data daemon writes nothing to disk.
	for _, message := range messages {
		envelope := message.Envelope
		envelope.From, envelope.Sender = controller.settings.Address, controller.settings.Address
		envelope.Zone = controller.settings.Zone
		envelope.Epoch = controller.configuration.sequence
		// Gossip digests reach every process in turn, so the checksum of the runners is sent with them.
		if digest := envelope.GetDigest(); digest != nil {
			digest.RunnersChecksum = controller.runnerSync.checksum()
		}
	}
	return messages
}

// Counters returns a copy of the counters.
func (controller *Controller) Counters() Counters { return controller.counters }

// PartialView returns the peers in this daemon's partial view.
func (controller *Controller) PartialView() []*wire.PeerDescriptor {
	return controller.partialView.Peers()
}

// Directory returns the daemons in the configuration document.
func (controller *Controller) Directory() []*wire.Member { return controller.configuration.directory }

// View returns the newest view that this daemon has received.
func (controller *Controller) View() *wire.View { return controller.leases.view }

// Until returns the time until which this daemon may dispatch requests; a time in the past means that it may not.
func (controller *Controller) Until(now time.Time) time.Time { return controller.permission.until(now) }

// NotifyDispatched notifies the other daemons of the zone that an at-most-once request was dispatched, or dropped
// without having been executed. Other zones are not notified: clients are sent to daemons of their own zone, and
// traffic between zones is expensive.
func (controller *Controller) NotifyDispatched(key []byte, dropped bool) {
	for _, member := range controller.configuration.directory {
		if member.Zone != controller.settings.Zone || member.Address == controller.settings.Address {
			continue
		}
		dispatched := &wire.RequestDispatched{Key: key, NotExecuted: dropped}
		body := &wire.Envelope_RequestDispatched{RequestDispatched: dispatched}
		controller.outbox.Send(member.Address, &wire.Envelope{Body: body})
	}
}

// StartDraining records that this daemon drains, which its lease requests announce from now on.
func (controller *Controller) StartDraining() { controller.draining = true }

// Snapshot returns the state that the request path needs.
func (controller *Controller) Snapshot(now time.Time) config.Snapshot {
	runners := controller.runnerList.runners
	if controller.settings.Registered {
		runners = controller.runnerSync.runners(now)
	}
	return config.Snapshot{
		Sequence:    controller.configuration.sequence,
		SpecEpoch:   controller.configuration.specEpoch,
		Catalog:     controller.configuration.catalog,
		Registered:  controller.settings.Registered,
		Runners:     runners,
		ExpiresAt:   controller.Until(now),
		DaemonCount: max(1, len(controller.configuration.directory)),
		Term:        controller.reservations.coordinator.Term(),
		Terms:       controller.reservations.terms,
	}
}

// Tick performs the periodic work that is due.
func (controller *Controller) Tick(now time.Time) {
	controller.permission.tick(now)
	controller.partialView.Tick(now)
	controller.requestDueLeases(now)
	controller.reservations.tick(now)
	if controller.settings.Registered {
		controller.runnerSync.tick(now)
	} else {
		controller.runnerList.tick(now)
	}
	controller.gossip.Tick(now)
}

// TakePollRequest reports whether the owner should read the platform's list of runners and pass it to OnPolled. It
// reports each request once.
func (controller *Controller) TakePollRequest() bool { return controller.runnerList.takePollRequest() }

// OnPolled handles the platform's list of runners. If failed is set, the list could not be read, and the previous one
// stays in use.
func (controller *Controller) OnPolled(now time.Time, runners []*wire.Runner, failed bool) {
	controller.counters.Polls++
	controller.runnerList.polled(now, runners, failed)
}
