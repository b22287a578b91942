package reservation

import (
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// syncInterval is the interval at which a replica repeats a synchronization request that was not answered.
	syncInterval = 100 * time.Millisecond
	// lossTimeout is the time limit of a new replica's wait for the remaining replicas of a group that lost reservations.
	lossTimeout = 500 * time.Millisecond
	// syncPage is the maximum number of reservations in one message.
	syncPage = 1024
)

// source is a replica that held a shard in the zone's previous epoch and still is a replica of the zone.
type source struct {
	address string
	// position is the position from which the next page is requested, lastRequest the time of the latest request.
	position    uint64
	lastRequest time.Time
	isDone      bool
}

// synchronization tracks the transfer of earlier reservations to a replica that is new in a group. Each source that
// answers has left the zone's previous epoch and grants nothing more in it; once enough sources have answered, no
// majority of the previous group can grant anything more in that epoch.
type synchronization struct {
	sources []*source
	// needed is the number of sources that together hold every reservation ever granted.
	needed int
	// lossDeadline ends the wait for the sources of a group that has lost reservations: too few are left to hold every
	// reservation, but what they hold still prevents repeated runs. Zero: the group has lost none.
	lossDeadline time.Time
}

// newSynchronization returns the synchronization that a replica of a zone must complete before it answers for a shard.
func newSynchronization(now time.Time, zone *Zone, shard uint32, self Identity) *synchronization {
	former := zone.previous.Group(shard)
	synchronization := &synchronization{needed: ReadQuorum(len(former))}
	if zone.CompleteSince == zone.Epoch {
		synchronization.lossDeadline = now.Add(lossTimeout)
	}
	for _, replica := range former {
		if replica != self && slices.Contains(zone.Replicas, replica) {
			synchronization.sources = append(synchronization.sources, &source{address: replica.Address})
		}
	}
	return synchronization
}

// isComplete reports whether enough sources have sent all that they hold.
func (synchronization *synchronization) isComplete(now time.Time) bool {
	done := 0
	for _, source := range synchronization.sources {
		if source.isDone {
			done++
		}
	}
	if synchronization.lossDeadline.IsZero() {
		return done >= synchronization.needed
	}
	return done == len(synchronization.sources) || !now.Before(synchronization.lossDeadline)
}

// sendSyncRequests requests missing reservations from sources for which a request is due.
func (replica *Replica) sendSyncRequests(now time.Time) {
	isDue := func(source *source) bool { return now.Sub(source.lastRequest) >= syncInterval }
	requests, order := map[string]*wire.ReservationSyncRequest{}, []string{}
	for number, shard := range replica.shards {
		if shard == nil || shard.sync == nil {
			continue
		}
		if shard.sync.isComplete(now) {
			shard.isReady, shard.sync = true, nil
			continue
		}
		for _, source := range shard.sync.sources {
			if source.isDone || !isDue(source) {
				continue
			}
			request := requests[source.address]
			if request == nil {
				request = &wire.ReservationSyncRequest{Epoch: replica.zone.Epoch}
				requests[source.address], order = request, append(order, source.address)
			}
			source.lastRequest = now
			request.Shards = append(request.Shards,
				&wire.ReservationShardPosition{Shard: uint32(number), Position: source.position})
		}
	}
	for _, address := range order {
		body := &wire.Envelope_ReservationSyncRequest{ReservationSyncRequest: requests[address]}
		replica.outbox.Send(address, &wire.Envelope{Body: body})
	}
}

// HandleSyncRequest answers a replica that synchronizes, if both act in the same epoch of this zone.
func (replica *Replica) HandleSyncRequest(now time.Time, from string, request *wire.ReservationSyncRequest) {
	if request.Epoch > replica.zone.Epoch {
		replica.environment.RequestMembership(now, from)
		return
	}
	if request.Epoch != replica.zone.Epoch {
		return
	}
	response, remaining := &wire.ReservationSyncResponse{Epoch: request.Epoch}, syncPage
	for _, wanted := range request.Shards {
		if remaining == 0 || wanted.Shard >= ShardCount {
			break
		}
		shard := replica.shards[wanted.Shard]
		if shard == nil || !shard.isSource && !shard.isReady {
			continue
		}
		page, next := shard.page(wanted.Position, remaining)
		remaining -= len(page)
		response.Pages = append(response.Pages, &wire.ReservationPage{Shard: wanted.Shard, Position: wanted.Position,
			Records: encodeRecords(now, page), Next: next})
	}
	if len(response.Pages) > 0 {
		body := &wire.Envelope_ReservationSyncResponse{ReservationSyncResponse: response}
		replica.outbox.Send(from, &wire.Envelope{Body: body})
	}
}

func encodeRecords(now time.Time, page []record) []*wire.ReservationRecord {
	records := make([]*wire.ReservationRecord, 0, len(page))
	for _, held := range page {
		if left := held.until.Sub(now); left > 0 {
			records = append(records, &wire.ReservationRecord{Key: held.key[:], Token: held.token,
				Milliseconds: uint32(left.Milliseconds()) + 1, Refused: held.refusedUpTo})
		}
	}
	return records
}

// HandleSyncResponse stores the reservations that a source held, and requests the next pages from it at once.
func (replica *Replica) HandleSyncResponse(now time.Time, from string, response *wire.ReservationSyncResponse) {
	if response.Epoch != replica.zone.Epoch {
		return
	}
	for _, page := range response.Pages {
		if page.Shard < ShardCount {
			replica.learnPage(now, from, page)
		}
	}
	for _, shard := range replica.shards {
		if shard == nil || shard.sync == nil {
			continue
		}
		for _, source := range shard.sync.sources {
			if source.address == from && !source.isDone {
				source.lastRequest = time.Time{}
			}
		}
	}
	replica.sendSyncRequests(now)
}

func (replica *Replica) learnPage(now time.Time, from string, page *wire.ReservationPage) {
	shard := replica.shards[page.Shard]
	if shard == nil || shard.sync == nil {
		return
	}
	for _, source := range shard.sync.sources {
		if source.address == from && !source.isDone && source.position == page.Position {
			shard.learn(now, page.Records)
			source.position, source.isDone = page.Next, page.Next == 0
		}
	}
}

// learn merges reservations that another replica held. If two reservations of one key meet, each held by some replicas,
// a majority may have granted one while the other is being released: the key stays taken, and no release removes it.
func (shard *shard) learn(now time.Time, records []*wire.ReservationRecord) {
	for _, message := range records {
		if len(message.Key) != KeySize {
			continue
		}
		learned := record{key: Key(message.Key), token: message.Token, refusedUpTo: message.Refused,
			until: now.Add(min(time.Duration(message.Milliseconds)*time.Millisecond, replicaRetention))}
		held, isHeld := shard.get(learned.key)
		switch {
		case isHeld && held.token != learned.token:
			learned.token, learned.refusedUpTo = contested, 0
		case isHeld:
			// One of the two replicas has not received the release yet.
			learned.refusedUpTo = max(held.refusedUpTo, learned.refusedUpTo)
		}
		if isHeld && held.until.After(learned.until) {
			learned.until = held.until
		}
		if !isHeld || held != learned {
			shard.put(learned)
		}
	}
}
