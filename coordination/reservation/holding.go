package reservation

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

// pendingRelease is the release of a reservation that not all replicas have acknowledged.
type pendingRelease struct {
	message *wire.ReservationRelease
	// recipients are the addresses of the replicas that have not acknowledged it.
	recipients map[string]bool
	lastSent   time.Time
	deadline   time.Time
}

// Finish ends the renewals of a granted reservation whose request has ended, whatever its result. The replicas keep the
// reservation for at least MinimumRetention from now on.
func (coordinator *Coordinator) Finish(reservation *Reservation) {
	if reservation.isRenewed {
		reservation.isRenewed = false
		coordinator.renewing--
	}
}

// Release releases a reservation, decided or not, of a request that certainly did not and will not run.
func (coordinator *Coordinator) Release(now time.Time, reservation *Reservation) {
	if coordinator.pending[reservation.token] != nil {
		coordinator.decide(now, reservation, Unreachable)
		return
	}
	if reservation.isRenewed {
		coordinator.Finish(reservation)
		coordinator.release(now, reservation)
	}
}

// release sends the release of a reservation to all replicas that were asked for it.
func (coordinator *Coordinator) release(now time.Time, reservation *Reservation) {
	message := &wire.ReservationRelease{Key: reservation.key[:], Token: reservation.token,
		Number: reservation.attempt.number()}
	release := &pendingRelease{message: message, recipients: map[string]bool{}, deadline: now.Add(releaseTimeout)}
	// Replicas that joined a group after the request may have received the reservation by synchronization.
	for _, vote := range reservation.zones {
		if zone := coordinator.membership.Zone(vote.zone.Name); zone != nil && len(reservation.contacted) > 0 {
			for _, replica := range zone.Group(reservation.key.shard()) {
				reservation.contacted[replica.Address] = true
			}
		}
	}
	for address := range reservation.contacted {
		if address == coordinator.self.Address {
			coordinator.local.Release(now, message)
			continue
		}
		release.recipients[address] = true
	}
	if len(release.recipients) > 0 {
		coordinator.releases[reservation.token] = release
		coordinator.sendRelease(now, release)
	}
}

func (coordinator *Coordinator) sendRelease(now time.Time, release *pendingRelease) {
	release.lastSent = now
	for _, address := range slices.Sorted(maps.Keys(release.recipients)) {
		coordinator.outbox.Send(address,
			&wire.Envelope{Body: &wire.Envelope_ReservationRelease{ReservationRelease: release.message}})
	}
}

// HandleReleased handles a replica's acknowledgement of a release.
func (coordinator *Coordinator) HandleReleased(from string, released *wire.ReservationReleased) {
	release := coordinator.releases[released.Token]
	if release == nil {
		return
	}
	delete(release.recipients, from)
	if len(release.recipients) == 0 {
		delete(coordinator.releases, released.Token)
	}
}

// resendReleases sends unacknowledged releases again. A release that is never acknowledged leaves an unused reservation
// behind, and the request is refused as taken until the reservation expires.
func (coordinator *Coordinator) resendReleases(now time.Time) {
	for _, token := range slices.Sorted(maps.Keys(coordinator.releases)) {
		release := coordinator.releases[token]
		if !now.Before(release.deadline) {
			delete(coordinator.releases, token)
			continue
		}
		if now.Sub(release.lastSent) >= resendInterval {
			coordinator.sendRelease(now, release)
		}
	}
}

// renew renews, at the replicas of the present membership, the reservations of requests in progress whose renewal is
// due.
func (coordinator *Coordinator) renew(now time.Time) {
	if !coordinator.membership.IsInForce() {
		return
	}
	for len(coordinator.renewals) > 0 {
		reservation := coordinator.renewals[0]
		if reservation.isRenewed && now.Sub(reservation.renewedAt) < RenewInterval {
			break
		}
		coordinator.renewals = coordinator.renewals[1:]
		if reservation.isRenewed {
			reservation.renewedAt = now
			coordinator.renewals = append(coordinator.renewals, reservation)
			coordinator.sendRenewal(now, reservation)
		}
	}
	coordinator.compactRenewals()
}

// compactRenewals removes reservations that have ended from renewals, once they outnumber the others by compactAbove.
func (coordinator *Coordinator) compactRenewals() {
	if len(coordinator.renewals) <= 2*coordinator.renewing+compactAbove {
		return
	}
	coordinator.renewals = slices.DeleteFunc(coordinator.renewals, func(reservation *Reservation) bool {
		return !reservation.isRenewed
	})
}

// compactAbove is the number by which ended renewals may outnumber the others before they are removed.
const compactAbove = 64

// sendRenewal requests the reservation again from the present replicas of each zone that was asked, which extends its
// retention. Their answers change nothing: the request is already running.
func (coordinator *Coordinator) sendRenewal(now time.Time, reservation *Reservation) {
	for _, vote := range coordinator.activeVotes(reservation) {
		zone := coordinator.membership.Zone(vote.zone.Name)
		if zone == nil {
			continue
		}
		request := reservation.newRequest(zone)
		for _, replica := range zone.Group(reservation.key.shard()) {
			coordinator.sendRequest(now, reservation, replica, request)
		}
	}
}
