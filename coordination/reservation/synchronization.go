package reservation

import (
	"slices"
	"time"

	"wardtray/wire"
)

const (
	// syncInterval is how often a replica asks again for what it lacks.
	syncInterval = 100 * time.Millisecond
	// lossTimeout is for how long a replica of a group that lost what it held waits for what may be left of that.
	lossTimeout = 500 * time.Millisecond
	// syncPage is how many reservations one message carries.
	syncPage = 1024
)

// source is a replica of the zone's epoch before that held a shard and still is a replica.
type source struct {
	address string
	// position is from where on it was asked last, and lastRequest when.
	position    uint64
	lastRequest time.Time
	isDone      bool
}

// synchronization is how a replica that is new in a group gets what was granted before. Each source that answers has
// left the zone's epoch before, so that nothing more is granted in it by a majority of that epoch's group.
type synchronization struct {
	sources []*source
	// needed is how many sources together have all that was ever granted.
	needed int
	// lossUntil is up to when the sources of a group that has lost reservations are waited for: too few are left to have
	// everything, and what they have is still better than nothing. Zero: it has lost none.
	lossUntil time.Time
}

// newSynchronization returns what a replica of a zone must learn of a shard before it may answer.
func newSynchronization(now time.Time, zone *Zone, shard uint32, self Identity) *synchronization {
	former := zone.previous.Group(shard)
	synchronization := &synchronization{needed: ReadQuorum(len(former))}
	if zone.CompleteSince == zone.Epoch {
		synchronization.lossUntil = now.Add(lossTimeout)
	}
	for _, replica := range former {
		if replica != self && slices.Contains(zone.Replicas, replica) {
			synchronization.sources = append(synchronization.sources, &source{address: replica.Address})
		}
	}
	return synchronization
}

// isComplete reports whether enough sources have answered.
func (synchronization *synchronization) isComplete(now time.Time) bool {
	done := 0
	for _, source := range synchronization.sources {
		if source.isDone {
			done++
		}
	}
	if synchronization.lossUntil.IsZero() {
		return done >= synchronization.needed
	}
	return done == len(synchronization.sources) || !now.Before(synchronization.lossUntil)
}

// sendSyncRequests asks for what this replica lacks, where that is due.
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

// HandleSyncRequest answers a replica that lacks what this one holds, if both act in the same epoch of this zone.
func (replica *Replica) HandleSyncRequest(now time.Time, from string, request *wire.ReservationSyncRequest) {
	if request.Epoch > replica.zone.Epoch {
		replica.environment.RequestMembership(now, from)
		return
	}
	if request.Epoch != replica.zone.Epoch {
		return
	}
	response, room := &wire.ReservationSyncResponse{Epoch: request.Epoch}, syncPage
	for _, wanted := range request.Shards {
		if room == 0 || wanted.Shard >= ShardCount {
			break
		}
		shard := replica.shards[wanted.Shard]
		if shard == nil || !shard.isSource && !shard.isReady {
			continue
		}
		page, next := shard.page(wanted.Position, room)
		room -= len(page)
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
				Milliseconds: uint32(left.Milliseconds()) + 1, Refused: held.refused})
		}
	}
	return records
}

// HandleSyncResponse takes in what a replica of the epoch before held, and asks it at once for what is left.
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

// learn takes in reservations that another replica held. Of a key that two have reserved, each at some replicas, one
// may have been granted by a majority and the other may be given up: it stays taken, and no release removes it.
func (shard *shard) learn(now time.Time, records []*wire.ReservationRecord) {
	for _, message := range records {
		if len(message.Key) != KeySize {
			continue
		}
		learned := record{key: Key(message.Key), token: message.Token, refused: message.Refused,
			until: now.Add(min(time.Duration(message.Milliseconds)*time.Millisecond, heldFor))}
		held, isHeld := shard.get(learned.key)
		switch {
		case isHeld && held.token != learned.token:
			learned.token, learned.refused = contested, 0
		case isHeld:
			// One of the two has not heard yet that it was given up.
			learned.refused = max(held.refused, learned.refused)
		}
		if isHeld && held.until.After(learned.until) {
			learned.until = held.until
		}
		if !isHeld || held != learned {
			shard.put(learned)
		}
	}
}
