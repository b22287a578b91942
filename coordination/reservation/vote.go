package reservation

import (
	"slices"
	"time"

	"wardtray/wire"
)

// zoneVote collects the answers of a zone's group in the present epoch, by replica address.
type zoneVote struct {
	zone      *Zone
	group     []Identity
	answers   map[string]wire.ReservationOutcome
	lastAsked time.Time
}

// newRequest returns the request for the replicas of a zone.
func (reservation *Reservation) newRequest(zone *Zone) *wire.ReservationRequest {
	return &wire.ReservationRequest{Epoch: zone.Epoch, Key: reservation.key[:], Token: reservation.token,
		Number: reservation.attempt.number()}
}

// ask sends the request to the replicas of a group that have not granted the reservation.
func (coordinator *Coordinator) ask(now time.Time, reservation *Reservation, vote *zoneVote) {
	request := reservation.newRequest(vote.zone)
	for _, replica := range vote.group {
		if vote.answers[replica.Address] == wire.ReservationOutcome_RESERVATION_GRANTED {
			continue
		}
		if answer := coordinator.sendRequest(now, reservation, replica, request); answer != nil {
			reservation.recordAnswer(vote, replica.Address, answer)
		}
	}
}

// sendRequest sends a request to a replica. It returns the answer if this process is the replica, and nil if the answer
// will arrive as a message.
func (coordinator *Coordinator) sendRequest(now time.Time, reservation *Reservation, replica Identity,
	request *wire.ReservationRequest) *wire.ReservationResponse {
	reservation.contacted[replica.Address] = true
	if replica == coordinator.self {
		return coordinator.local.Reserve(now, request)
	}
	coordinator.outbox.Send(replica.Address,
		&wire.Envelope{Body: &wire.Envelope_ReservationRequest{ReservationRequest: request}})
	return nil
}

// HandleResponse handles a replica's answer.
func (coordinator *Coordinator) HandleResponse(now time.Time, from string, response *wire.ReservationResponse) {
	reservation := coordinator.pending[response.Token]
	if reservation == nil {
		return
	}
	for _, vote := range coordinator.activeVotes(reservation) {
		isMember := slices.ContainsFunc(vote.group, func(replica Identity) bool { return replica.Address == from })
		if !isMember {
			continue
		}
		if response.Epoch > vote.zone.Epoch {
			coordinator.environment.RequestMembership(now, from)
		}
		if response.Epoch != vote.zone.Epoch || vote.answers[from] == wire.ReservationOutcome_RESERVATION_GRANTED {
			continue
		}
		reservation.recordAnswer(vote, from, response)
	}
	coordinator.evaluate(now, reservation)
}

// recordAnswer stores a replica's answer.
func (reservation *Reservation) recordAnswer(vote *zoneVote, replica string, response *wire.ReservationResponse) {
	vote.answers[replica] = response.Outcome
	if response.Outcome == wire.ReservationOutcome_RESERVATION_FULL {
		reservation.retryAfter = time.Duration(response.RoomMilliseconds) * time.Millisecond
	}
}

// count returns the number of replicas that gave the answer outcome.
func (vote *zoneVote) count(outcome wire.ReservationOutcome) int {
	count := 0
	for _, answer := range vote.answers {
		if answer == outcome {
			count++
		}
	}
	return count
}

// isGranted reports whether a majority of the group has granted the reservation.
func (vote *zoneVote) isGranted() bool {
	return vote.count(wire.ReservationOutcome_RESERVATION_GRANTED) >= Majority(len(vote.group))
}

// canGrant reports whether a majority of the group may still have capacity.
func (vote *zoneVote) canGrant() bool {
	return len(vote.group)-vote.count(wire.ReservationOutcome_RESERVATION_FULL) >= Majority(len(vote.group))
}

// evaluate decides a reservation if the answers so far suffice.
func (coordinator *Coordinator) evaluate(now time.Time, reservation *Reservation) {
	granted := 0
	votes := coordinator.activeVotes(reservation)
	for _, vote := range votes {
		if vote.count(wire.ReservationOutcome_RESERVATION_TAKEN) > 0 {
			coordinator.decide(now, reservation, Taken)
			return
		}
		if !vote.canGrant() {
			coordinator.decide(now, reservation, Full)
			return
		}
		if vote.isGranted() {
			granted++
		}
	}
	if granted == len(votes) {
		if reservation.attempt.IsFirst() && votes[0].zone.Name != coordinator.zone {
			coordinator.counters.OtherZone++
		}
		coordinator.decide(now, reservation, Granted)
	}
}

// decide sets the outcome of a reservation. One that is not granted is released, so that it does not block later
// attempts.
func (coordinator *Coordinator) decide(now time.Time, reservation *Reservation, outcome Outcome) {
	delete(coordinator.pending, reservation.token)
	reservation.outcome = outcome
	coordinator.countOutcome(outcome)
	if outcome == Granted {
		reservation.isRenewed, reservation.renewedAt = true, now
		coordinator.renewals = append(coordinator.renewals, reservation)
		coordinator.renewing++
	} else {
		coordinator.release(now, reservation)
	}
	close(reservation.done)
}

// countOutcome counts a decided reservation.
func (coordinator *Coordinator) countOutcome(outcome Outcome) {
	counters := &coordinator.counters
	switch outcome {
	case Granted:
		counters.Granted++
	case Taken:
		counters.Taken++
	case InDoubt:
		counters.InDoubt++
	case Unreachable:
		counters.Unreachable++
	case Full:
		counters.Full++
	case Pending, NotInForce:
	}
}
