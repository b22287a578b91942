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
	// renewInterval is the interval of the lease requests of a daemon that may dispatch.
	renewInterval = lease.DaemonRenewInterval
	// retryInterval is the interval of the lease requests of a daemon that may not dispatch.
	retryInterval = 100 * time.Millisecond
	// headTimeout is the time without a grant of the head after which leases are requested from every control machine.
	headTimeout = 400 * time.Millisecond
	// broadcastInterval is the interval of the requests to every control machine.
	broadcastInterval = 200 * time.Millisecond
)

// requestSchedule decides when leases are requested, and from whom.
type requestSchedule struct {
	seeds       []string
	partialView *peersampling.PartialView
	leases      *leases
	permission  *permission
	// headUnreachable is set while the head's address refuses connections.
	headUnreachable bool
	// lastGrant is the time of the head's last grant.
	lastGrant     time.Time
	lastRequest   time.Time
	lastBroadcast time.Time
}

// newRequestSchedule returns a schedule whose first request is due at once.
func newRequestSchedule(
	seeds []string, partialView *peersampling.PartialView, leases *leases, permission *permission,
) *requestSchedule {
	return &requestSchedule{seeds: seeds, partialView: partialView, leases: leases, permission: permission}
}

// onNewView makes requests to the head and the acceptors of a new view due at once. The acceptors are included because
// the new head may not lead for some time yet.
func (schedule *requestSchedule) onNewView() {
	schedule.headUnreachable = false
	schedule.lastRequest, schedule.lastBroadcast, schedule.lastGrant = time.Time{}, time.Time{}, time.Time{}
}

// onRefused handles a refused connection and reports whether it was the first one to the current head. If so, requests
// to every control machine are due at once: the next head is among them, and may lead before the last lease has
// expired.
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

// takeAddresses reports whether a lease request is due. If so it records the request as sent, and returns the addresses
// to send it to, in order: the head and, if the head does not respond, the acceptors and the control machines that may
// have a newer view.
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
		schedule.addControlMachines(targets)
	}
	return slices.Sorted(maps.Keys(targets)), true
}

// interval returns the current interval between lease requests.
func (schedule *requestSchedule) interval(now time.Time) time.Duration {
	if schedule.headUnreachable || !now.Before(schedule.permission.until(now)) {
		return retryInterval
	}
	if now.Sub(schedule.lastGrant) > headTimeout {
		return schedule.broadcastInterval(now)
	}
	return renewInterval
}

// broadcastInterval returns the interval of requests to every control machine. It is longer while the acceptors'
// confirmations substitute for the head's lease.
func (schedule *requestSchedule) broadcastInterval(now time.Time) time.Duration {
	if now.Add(headTimeout).Before(schedule.leases.confirmedUntil()) {
		return renewInterval
	}
	return broadcastInterval
}

// addControlMachines adds the known control machines: only the chain and the acceptors while a majority of the
// acceptors confirms, seeds and peers as well otherwise.
func (schedule *requestSchedule) addControlMachines(targets map[string]bool) {
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

// pendingRequests holds the times of the lease requests that have no response yet, by their nonces. Each response
// counts once, from the time of its request.
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

// take removes the request with a nonce and returns its time; found is false if there is none.
func (pending *pendingRequests) take(nonce uint64) (requested time.Time, found bool) {
	requested, found = pending.requested[nonce]
	delete(pending.requested, nonce)
	return requested, found
}

// expire removes the requests whose responses would no longer count.
func (pending *pendingRequests) expire(now time.Time, term time.Duration) {
	for nonce, requested := range pending.requested {
		if now.Sub(requested) > term {
			delete(pending.requested, nonce)
		}
	}
}
