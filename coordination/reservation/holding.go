package reservation

import (
	"maps"
	"slices"
	"time"

	"wardtray/wire"
)

// pendingRelease is a reservation that is given up, until the replicas have acknowledged that.
type pendingRelease struct {
	message *wire.ReservationRelease
	// recipients are the addresses that have not acknowledged it.
	recipients map[string]bool
	lastSent   time.Time
	deadline   time.Time
}

// Finish ends the renewals of a granted reservation whose request has ended, whatever came of that. It is known for
// Keep from now on.
func (coordinator *Coordinator) Finish(reservation *Reservation) {
	if reservation.isRenewed {
		reservation.isRenewed = false
		coordinator.renewing--
	}
}

// Release gives up a reservation, decided or not, of a request that certainly did not and will not run.
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

// release tells all replicas that were asked that a reservation is given up.
func (coordinator *Coordinator) release(now time.Time, reservation *Reservation) {
	message := &wire.ReservationRelease{Key: reservation.key[:], Token: reservation.token,
		Number: reservation.sending.number()}
	release := &pendingRelease{message: message, recipients: map[string]bool{}, deadline: now.Add(releaseTimeout)}
	// Replicas that have joined a group since may have learned of it.
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

// resendReleases sends again what was not acknowledged. A release that is never acknowledged leaves a reservation that
// nobody uses, so that the request is refused as taken until that is forgotten.
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

// renew renews the reservations of requests that go on, where that is due, at the replicas of the present membership.
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

// compactRenewals drops those that have ended, once they are most.
func (coordinator *Coordinator) compactRenewals() {
	if len(coordinator.renewals) <= 2*coordinator.renewing+compactAbove {
		return
	}
	coordinator.renewals = slices.DeleteFunc(coordinator.renewals, func(reservation *Reservation) bool {
		return !reservation.isRenewed
	})
}

// compactAbove is how many renewals that have ended may stay.
const compactAbove = 64

// sendRenewal asks the replicas that hold a reservation, or follow those that did, to hold it for longer. What they
// answer changes nothing: the request runs already.
func (coordinator *Coordinator) sendRenewal(now time.Time, reservation *Reservation) {
	for _, vote := range coordinator.asked(reservation) {
		zone := coordinator.membership.Zone(vote.zone.Name)
		if zone == nil {
			continue
		}
		request := reservation.request(zone)
		for _, replica := range zone.Group(reservation.key.shard()) {
			coordinator.request(now, reservation, replica, request)
		}
	}
}
