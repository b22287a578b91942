package controller

import (
	"maps"
	"slices"
	"time"

	"wardtray/coordination/lease"
	"wardtray/coordination/peersampling"
	"wardtray/wire"
)

const (
	// renewInterval is how often a daemon that may dispatch requests a lease.
	renewInterval = lease.DaemonRenewInterval
	// retryInterval is how often one that may not yet does.
	retryInterval = 100 * time.Millisecond
	// headTimeout is for how long the head may grant nothing before every core machine is asked, and broadcastInterval
	// how often they are.
	headTimeout       = 400 * time.Millisecond
	broadcastInterval = 200 * time.Millisecond
)

// requestSchedule decides when leases are requested, and from whom.
type requestSchedule struct {
	seeds       []string
	partialView *peersampling.PartialView
	leases      *leases
	permission  *permission
	// headUnreachable is set while nobody listens at the head's address.
	headUnreachable bool
	// lastGrant is when the head last granted a lease.
	lastGrant     time.Time
	lastRequest   time.Time
	lastBroadcast time.Time
}

// newRequestSchedule returns a schedule by which a request is due at once.
func newRequestSchedule(
	seeds []string, partialView *peersampling.PartialView, leases *leases, permission *permission,
) *requestSchedule {
	return &requestSchedule{seeds: seeds, partialView: partialView, leases: leases, permission: permission}
}

// onNewView makes requests to the head and the acceptors of a new view due at once: its head may not lead for a while
// yet.
func (schedule *requestSchedule) onNewView() {
	schedule.headUnreachable = false
	schedule.lastRequest, schedule.lastBroadcast, schedule.lastGrant = time.Time{}, time.Time{}, time.Time{}
}

// onRefused handles a refused connection and reports whether it was the first one to the present head; then requests
// to everybody are due at once. The next head is among them, and may lead before the last lease has expired.
func (schedule *requestSchedule) onRefused(address string) bool {
	if !schedule.leases.isHead(address) || schedule.headUnreachable {
		return false
	}
	schedule.headUnreachable, schedule.lastRequest = true, time.Time{}
	return true
}

// onGrant records that the head granted a lease.
func (schedule *requestSchedule) onGrant(now time.Time) {
	schedule.lastGrant, schedule.headUnreachable = now, false
}

// takeAddresses notes a request as sent if one is due, and returns, in order, whom to send it to: the head and, if it
// does not respond, the acceptors and everybody who may know the present head. due is false if no request is due.
func (schedule *requestSchedule) takeAddresses(now time.Time) (addresses []string, due bool) {
	if now.Sub(schedule.lastRequest) < schedule.interval(now) {
		return nil, false
	}
	schedule.lastRequest = now
	targets := map[string]bool{}
	if head := schedule.leases.head(); head != nil {
		targets[head.Address] = true
	}
	headFailed := schedule.headUnreachable || now.Sub(schedule.lastGrant) > headTimeout
	if headFailed && now.Sub(schedule.lastBroadcast) >= schedule.broadcastInterval(now) {
		schedule.lastBroadcast = now
		schedule.permission.unansweredRounds++
		schedule.addCoreMachines(targets)
	}
	return slices.Sorted(maps.Keys(targets)), true
}

// interval returns how often the head, or everybody who may know it, is asked.
func (schedule *requestSchedule) interval(now time.Time) time.Duration {
	if schedule.headUnreachable || !now.Before(schedule.permission.until(now)) {
		return retryInterval
	}
	if now.Sub(schedule.lastGrant) > headTimeout {
		return schedule.broadcastInterval(now)
	}
	return renewInterval
}

// broadcastInterval returns how often every core machine is asked: less often while the acceptors' confirmations stand
// in for the head's lease.
func (schedule *requestSchedule) broadcastInterval(now time.Time) time.Duration {
	if now.Add(headTimeout).Before(schedule.leases.confirmedUntil()) {
		return renewInterval
	}
	return broadcastInterval
}

// addCoreMachines adds the core machines that this daemon knows: only the chain and the acceptors while these respond.
func (schedule *requestSchedule) addCoreMachines(targets map[string]bool) {
	for _, members := range [][]*wire.Member{schedule.leases.view.Chain, schedule.leases.view.Acceptors} {
		for _, member := range members {
			targets[member.Address] = true
		}
	}
	confirmed := schedule.leases.confirmedUntil().After(schedule.lastBroadcast)
	if confirmed && schedule.permission.unansweredRounds < isolationRounds {
		return
	}
	for _, seed := range schedule.seeds {
		targets[seed] = true
	}
	for _, peer := range schedule.partialView.Peers() {
		if peer.Core {
			targets[peer.Address] = true
		}
	}
}

// pendingRequests are the lease requests that have got no response yet. Each response counts once, from the moment of
// its request.
type pendingRequests struct {
	nonce     uint64
	requested map[uint64]time.Time
}

// newPendingRequests returns an empty set, whose nonces follow the given one.
func newPendingRequests(nonce uint64) *pendingRequests {
	return &pendingRequests{nonce: nonce, requested: map[uint64]time.Time{}}
}

// add records a request and returns its nonce.
func (pending *pendingRequests) add(now time.Time) uint64 {
	pending.nonce++
	pending.requested[pending.nonce] = now
	return pending.nonce
}

// take removes the request with a nonce and returns its moment; found is false if there is none.
func (pending *pendingRequests) take(nonce uint64) (requested time.Time, found bool) {
	requested, found = pending.requested[nonce]
	delete(pending.requested, nonce)
	return requested, found
}

// expire removes the requests whose responses would count no more.
func (pending *pendingRequests) expire(now time.Time, term time.Duration) {
	for nonce, requested := range pending.requested {
		if now.Sub(requested) > term {
			delete(pending.requested, nonce)
		}
	}
}
