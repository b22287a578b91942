// Package daemonlease is the control plane's side of the leases under which data daemons serve a configuration. The
// head grants them (Leases), and where daemons don't reach the head a majority of acceptors confirms what they have
// (Confirmer). A change counts as delivered once no daemon can still serve an older one under a lease.
package daemonlease

import (
	"time"

	"wardtray/control/membership"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// ClockMargin is what is added to a lease's length for clocks that drift.
	ClockMargin = 100 * time.Millisecond
	// MaximumDaemons bounds the daemons that one head grants leases to.
	MaximumDaemons = 4096
	// promptDelay is how long gossip has to bring a change to every daemon before the head prompts those who lack it.
	promptDelay = 40 * time.Millisecond
	// promptInterval is how often it prompts them.
	promptInterval = 100 * time.Millisecond
	// missingAfter is after what silence a daemon leaves the directory.
	missingAfter = 60 * time.Second
	// joinRequests is how many requests a daemon must have made before it enters the directory.
	joinRequests = 2
	// maximumCommits bounds the sequences whose time of commit is remembered.
	maximumCommits = 1024
)

// daemon is what the head knows of a data daemon.
type daemon struct {
	zone string
	http string
	// sequence is the newest document that it says it has.
	sequence uint64
	// lastGrant is when it was last granted a lease, and lastRequest when it last requested one.
	lastGrant   time.Time
	lastRequest time.Time
	// requests counts those of its present incarnation.
	requests    int
	incarnation uint64
	draining    bool
	// terminated is when nobody listened at its address any more; its process, and its leases, ended before.
	terminated time.Time
	// reservations is what it says as a holder of reservations; nil: it makes none.
	reservations *wire.ReservationReport
	liveness     liveness
}

// isTerminated reports whether the process that was last granted a lease has ended.
func (daemon *daemon) isTerminated() bool { return daemon.terminated.After(daemon.lastGrant) }

// Leases is the table of the leases that this process grants as head. It starts anew in each term (Reset), but for what
// it knows of the acceptors.
type Leases struct {
	chain  *chain.Chain
	outbox *statemachine.Outbox
	// duration is for how long a daemon may rely on a lease, counted from its request.
	duration time.Duration

	daemons map[string]*daemon
	// lastChallenge is the newest that was drawn.
	lastChallenge uint64
	// firstRequest is when the first daemon requested a lease in this term.
	firstRequest time.Time
	// acceptorProgress is what the acceptors reported of the sequences that they know.
	acceptorProgress *lease.ProgressTracker
	// commits is when recent sequences were first seen committed here.
	commits    map[uint64]time.Time
	lastPrompt time.Time
	// view is the present one, and previous the acceptors of those that ended within the last lease.
	view     *wire.View
	previous []previousAcceptors
}

// NewLeases returns an empty table; duration is for how long a daemon may rely on a lease, view the present one. The
// challenges that are sent to daemons follow one that is drawn at random.
func NewLeases(history *chain.Chain, outbox *statemachine.Outbox, duration time.Duration, view *wire.View,
	challenge uint64) *Leases {
	leases := &Leases{
		chain:            history,
		outbox:           outbox,
		duration:         duration,
		acceptorProgress: lease.NewProgressTracker(),
		view:             view,
		lastChallenge:    challenge,
	}
	leases.Reset()
	return leases
}

// Reset forgets the daemons and commits of the term before.
func (leases *Leases) Reset() {
	leases.daemons, leases.commits = map[string]*daemon{}, map[uint64]time.Time{}
	leases.firstRequest = time.Time{}
}

// Length returns for how long a lease may run, counted from whenever it was granted, with a margin for clocks that
// drift.
func (leases *Leases) Length() time.Duration { return leases.duration + ClockMargin }

// Committed notes when a sequence was first seen committed here.
func (leases *Leases) Committed(now time.Time, sequence uint64) {
	if len(leases.commits) >= maximumCommits {
		leases.commits = map[uint64]time.Time{}
	}
	leases.commits[sequence] = now
}

// HandleRequest notes what a daemon says in its request for a lease. It reports false if there are too many daemons.
func (leases *Leases) HandleRequest(now time.Time, address string, request *wire.DaemonLeaseRequest) bool {
	known := leases.daemons[address]
	if known == nil {
		if len(leases.daemons) >= MaximumDaemons {
			return false
		}
		known = &daemon{incarnation: request.Incarnation}
		leases.daemons[address] = known
	}
	if leases.firstRequest.IsZero() {
		leases.firstRequest = now
	}
	// A new incarnation shows that the process before it, with its lease, has ended.
	if known.incarnation != request.Incarnation {
		known.incarnation, known.lastGrant, known.requests = request.Incarnation, time.Time{}, 0
	}
	// A daemon that restarted knows less than it once confirmed, so its last report counts, not the greatest.
	known.zone, known.http, known.sequence = request.Zone, request.Http, request.Sequence
	known.reservations = request.Reservations
	known.liveness.observe(now, request.Incarnation, request.Challenge)
	known.lastRequest, known.draining = now, request.Draining
	known.requests++
	return true
}

// Grant grants a lease to a daemon that requested one; the daemon must be in the directory. The next head waits for all
// of the directory, and so for whoever may hold a lease of this one's.
func (leases *Leases) Grant(now time.Time, address string, grant *wire.DaemonLeaseGrant) {
	leases.daemons[address].lastGrant = now
	grant.Granted, grant.Sequence = true, leases.chain.Committed().Sequence
	grant.Milliseconds = uint32(leases.duration.Milliseconds())
}

// ConnectionRefused handles that nobody listened at an address when it was tried, and reports whether a daemon's
// process is known to have ended by it.
func (leases *Leases) ConnectionRefused(address string, tried time.Time) bool {
	known, document := leases.daemons[address], leases.chain.Committed()
	isMember := membership.Contains(document.Directory, address) ||
		membership.Contains(document.PreviousDirectory, address)
	if known == nil && isMember {
		known = &daemon{}
		leases.daemons[address] = known
	}
	// What it was granted or reported since it was tried may be of a new process at its address.
	if known == nil || !known.lastGrant.Before(tried) || !known.lastRequest.Before(tried) {
		return false
	}
	known.terminated, known.sequence, known.requests = tried, 0, 0
	return true
}

// IsPromptDue reports whether enough time has passed since daemons were last prompted.
func (leases *Leases) IsPromptDue(now time.Time) bool {
	return now.Sub(leases.lastPrompt) >= promptInterval
}

// Prompt asks the daemons that are not known to have the last change to request a lease, unless gossip still has time
// to bring it or the change is delivered. If an address refuses the connection, ConnectionRefused is called.
func (leases *Leases) Prompt(leader DeliveryContext) {
	document := leases.chain.Committed()
	committed, found := leases.commits[document.Sequence]
	if found && leader.Now.Sub(committed) < promptDelay || leases.IsDelivered(leader, document.Sequence) {
		return
	}
	leases.lastPrompt = leader.Now
	for _, member := range document.Directory {
		if known := leases.daemons[member.Address]; known == nil || known.sequence < document.Sequence {
			prompt := &wire.DaemonLeasePrompt{Sequence: document.Sequence}
			leases.outbox.Send(member.Address,
				&wire.Envelope{Body: &wire.Envelope_DaemonLeasePrompt{DaemonLeasePrompt: prompt}})
		}
	}
}

// Unleased lists the daemons of the directory that hold no lease; only a head that has led since before any lease could
// have been granted by another can tell.
func (leases *Leases) Unleased(now, leaderSince time.Time) []string {
	if now.Sub(leaderSince) < leases.Length() {
		return nil
	}
	var unleased []string
	for _, member := range leases.chain.Committed().Directory {
		known := leases.daemons[member.Address]
		if known == nil || now.Sub(known.lastGrant) >= leases.Length() || known.isTerminated() {
			unleased = append(unleased, member.Address)
		}
	}
	return unleased
}

// FirstRequest returns when the first daemon requested a lease in this term.
func (leases *Leases) FirstRequest() time.Time { return leases.firstRequest }

// Active lists the addresses of the daemons that requested a lease of late, in no order.
func (leases *Leases) Active(now time.Time) []string {
	active := make([]string, 0, len(leases.daemons))
	for address, known := range leases.daemons {
		if now.Sub(known.lastRequest) < leases.duration {
			active = append(active, address)
		}
	}
	return active
}

// Progress returns which document a daemon says that it has, and whether it requested a lease of late.
func (leases *Leases) Progress(now time.Time, address string) (sequence uint64, active bool) {
	known := leases.daemons[address]
	if known == nil {
		return 0, false
	}
	return known.sequence, now.Sub(known.lastRequest) < leases.duration
}

// Arrivals lists the daemons that request leases and are not in a directory yet, in no order.
func (leases *Leases) Arrivals(now time.Time, directory []*wire.Member) []*wire.Member {
	inside := map[string]bool{}
	for _, member := range directory {
		inside[member.Address] = true
	}
	var arrivals []*wire.Member
	for address, known := range leases.daemons {
		isActive := known.requests >= joinRequests && !known.draining && now.Sub(known.lastRequest) < leases.duration
		// One that makes reservations comes in as one that may hold them, which takes a proof that it is alive.
		isProven := known.reservations == nil || known.liveness.incarnation == known.incarnation
		if !inside[address] && isActive && isProven {
			arrivals = append(arrivals, &wire.Member{Id: address, Address: address, Zone: known.zone, Http: known.http})
		}
	}
	return arrivals
}

// ExcludeMissing returns the members of a directory but for the daemons that have been silent for long; a head hears
// daemons only since it leads. All of them stay where none would: an empty directory lets anybody in unasked, so the
// last known daemons stay until another comes.
func (leases *Leases) ExcludeMissing(now, leaderSince time.Time, directory []*wire.Member) []*wire.Member {
	var remaining []*wire.Member
	for _, member := range directory {
		lastSeen := leaderSince
		if known := leases.daemons[member.Address]; known != nil && known.lastRequest.After(lastSeen) {
			lastSeen = known.lastRequest
		}
		if now.Sub(lastSeen) <= missingAfter {
			remaining = append(remaining, member)
		}
	}
	if len(remaining) == 0 {
		return append(remaining, directory...)
	}
	return remaining
}
