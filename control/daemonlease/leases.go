// Package daemonlease implements the control plane's side of the leases under which data daemons serve a configuration.
// The head grants them (Leases). Daemons that cannot reach the head instead have a majority of the acceptors confirm
// that their document is the newest (Confirmer). A change counts as delivered once no daemon can still serve an older
// one under a lease.
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
	// ClockMargin is added to the length of a lease to allow for clock drift.
	ClockMargin = 100 * time.Millisecond
	// MaximumDaemons bounds the daemons to which one head grants leases.
	MaximumDaemons = 4096
	// promptDelay is the time that gossip gets to bring a change to every daemon before the head prompts those that
	// lack it.
	promptDelay = 40 * time.Millisecond
	// promptInterval is the time between two rounds of prompts.
	promptInterval = 100 * time.Millisecond
	// missingAfter is the time without a request after which a daemon is removed from the directory.
	missingAfter = 60 * time.Second
	// joinRequests is the number of requests that a daemon must have made before it is added to the directory.
	joinRequests = 2
	// maximumCommits bounds the sequences whose commit times are kept.
	maximumCommits = 1024
)

// daemon is the state of one data daemon, as the head knows it.
type daemon struct {
	zone string
	http string
	// sequence is that of the newest document that the daemon reports.
	sequence uint64
	// lastGrant and lastRequest are the times at which it was last granted and last requested a lease.
	lastGrant   time.Time
	lastRequest time.Time
	// requests counts the lease requests of its current incarnation.
	requests    int
	incarnation uint64
	draining    bool
	// terminated is the time of the last connection attempt that its address refused. A process listens until it ends, so
	// the daemon's process and its leases had ended by then.
	terminated time.Time
	// reservations is its report as a holder of reservations; nil if it makes none.
	reservations *wire.ReservationReport
	liveness     liveness
}

// isTerminated reports whether the process that was last granted a lease has ended.
func (daemon *daemon) isTerminated() bool { return daemon.terminated.After(daemon.lastGrant) }

// Leases is the table of the leases that this process grants as head. Each new term clears it (Reset), except for the
// acceptors' progress and the acceptors of previous views.
type Leases struct {
	chain  *chain.Chain
	outbox *statemachine.Outbox
	// duration is the time for which a daemon may rely on a lease, counted from its request.
	duration time.Duration

	daemons map[string]*daemon
	// lastChallenge is the challenge that was issued last.
	lastChallenge uint64
	// firstRequest is the time at which the first daemon requested a lease in this term.
	firstRequest time.Time
	// acceptorProgress tracks the sequences that the acceptors report as committed.
	acceptorProgress *lease.ProgressTracker
	// commits maps recent sequences to the times at which this process first saw them committed.
	commits    map[uint64]time.Time
	lastPrompt time.Time
	// view is the current view. previous holds the acceptors of views that ended within the last lease length.
	view     *wire.View
	previous []previousAcceptors
}

// NewLeases returns an empty table. duration is the time for which a daemon may rely on a lease, view is the current
// view. Challenges are numbered upwards from challenge, which the caller draws at random.
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

// Reset clears the daemons and the commit times of the previous term.
func (leases *Leases) Reset() {
	leases.daemons, leases.commits = map[string]*daemon{}, map[uint64]time.Time{}
	leases.firstRequest = time.Time{}
}

// Length returns the time within which a lease has certainly expired, counted from its grant, including ClockMargin.
func (leases *Leases) Length() time.Duration { return leases.duration + ClockMargin }

// ObserveCommit records the time at which this process first saw a sequence committed.
func (leases *Leases) ObserveCommit(now time.Time, sequence uint64) {
	if len(leases.commits) >= maximumCommits {
		leases.commits = map[uint64]time.Time{}
	}
	leases.commits[sequence] = now
}

// HandleRequest records a daemon's request for a lease. It returns false if the daemon is new and the table is full.
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
	// A new incarnation shows that the previous process has ended, and its lease with it.
	if known.incarnation != request.Incarnation {
		known.incarnation, known.lastGrant, known.requests = request.Incarnation, time.Time{}, 0
	}
	// A restarted daemon may have an older document than it reported before, so its last report counts, not the newest
	// sequence that it has reported.
	known.zone, known.http, known.sequence = request.Zone, request.Http, request.Sequence
	known.reservations = request.Reservations
	known.liveness.observe(now, request.Incarnation, request.Challenge)
	known.lastRequest, known.draining = now, request.Draining
	known.requests++
	return true
}

// Grant grants a lease to a daemon that requested one. The daemon must be in the directory: before the next head
// acknowledges a change, it waits for the leases of the daemons in the directory, but not for those of others.
func (leases *Leases) Grant(now time.Time, address string, grant *wire.DaemonLeaseGrant) {
	leases.daemons[address].lastGrant = now
	grant.Granted, grant.Sequence = true, leases.chain.Committed().Sequence
	grant.Milliseconds = uint32(leases.duration.Milliseconds())
}

// ConnectionRefused handles a connection attempt, made at the time tried, that was refused at an address. It reports
// whether this shows that a daemon's process has ended.
func (leases *Leases) ConnectionRefused(address string, tried time.Time) bool {
	known, document := leases.daemons[address], leases.chain.Committed()
	isMember := membership.Contains(document.Directory, address) ||
		membership.Contains(document.PreviousDirectory, address)
	if known == nil && isMember {
		known = &daemon{}
		leases.daemons[address] = known
	}
	// A grant or a request after the attempt may belong to a new process at the same address.
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

// Prompt asks the daemons that are not known to have the last change to request a lease. It does nothing before
// promptDelay has passed since the commit, or if the change is delivered. If an address refuses the connection,
// ConnectionRefused is called.
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

// DaemonsWithoutLease lists the addresses of the directory's daemons that hold no lease. It returns nil until this head
// has led for the length of a lease: before that, leases of the previous head may still run.
func (leases *Leases) DaemonsWithoutLease(now, leaderSince time.Time) []string {
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

// FirstRequest returns the time at which the first daemon requested a lease in this term, zero if none has.
func (leases *Leases) FirstRequest() time.Time { return leases.firstRequest }

// Active lists, in no order, the addresses of the daemons that requested a lease within its duration.
func (leases *Leases) Active(now time.Time) []string {
	active := make([]string, 0, len(leases.daemons))
	for address, known := range leases.daemons {
		if now.Sub(known.lastRequest) < leases.duration {
			active = append(active, address)
		}
	}
	return active
}

// Progress returns the sequence of the document that a daemon reports, and whether the daemon requested a lease within
// its duration.
func (leases *Leases) Progress(now time.Time, address string) (sequence uint64, active bool) {
	known := leases.daemons[address]
	if known == nil {
		return 0, false
	}
	return known.sequence, now.Sub(known.lastRequest) < leases.duration
}

// JoiningDaemons lists, in no order, the daemons that request leases and are to be added to a directory.
func (leases *Leases) JoiningDaemons(now time.Time, directory []*wire.Member) []*wire.Member {
	isListed := map[string]bool{}
	for _, member := range directory {
		isListed[member.Address] = true
	}
	var joining []*wire.Member
	for address, known := range leases.daemons {
		isActive := known.requests >= joinRequests && !known.draining && now.Sub(known.lastRequest) < leases.duration
		// A daemon that makes reservations may be chosen to hold those of others, so it must first prove that it is alive.
		isProven := known.reservations == nil || known.liveness.incarnation == known.incarnation
		if !isListed[address] && isActive && isProven {
			joining = append(joining, &wire.Member{Id: address, Address: address, Zone: known.zone, Http: known.http})
		}
	}
	return joining
}

// ExcludeMissing returns the members of a directory without the daemons that have made no request for missingAfter,
// counted at the earliest from leaderSince: only since then do daemons send this head requests. It returns all members
// if none would remain, since an empty directory admits any daemon; the last known daemons stay until another joins.
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
