package reservation

import "time"

// contested is the token of a key for which replicas held different reservations. No reservation has this token.
const contested = 0

// record is one reservation.
type record struct {
	key Key
	// token is the token of the reservation, or contested.
	token uint64
	// refusedUpTo is the attempt number of a released reservation: no attempt with this or a smaller number is reserved.
	// 0: the reservation was not released.
	refusedUpTo uint32
	// until is the time at which the record expires.
	until time.Time
}

// admits reports whether an attempt with a token and a number may be reserved despite this record: either the record is
// its own, or the client sent it after it was notified that the attempts up to refusedUpTo don't run.
func (held record) admits(token uint64, number uint32) bool {
	if held.refusedUpTo > 0 {
		return number == 0 || number > held.refusedUpTo
	}
	return held.token == token
}

// table holds the reservations of one shard in the order in which they were made or renewed, which is also the order in
// which they expire. Positions count from 1 and are never reused.
type table struct {
	records []record
	// first is the position of the first record.
	first uint64
	// positions holds the position of each reservation by key. A record whose key is missing or has another position was
	// released or renewed since.
	positions map[Key]uint64
}

func newTable() *table { return &table{first: 1, positions: map[Key]uint64{}} }

// len returns the number of reservations held.
func (table *table) len() int { return len(table.positions) }

// get returns the reservation of a key.
func (table *table) get(key Key) (found record, isHeld bool) {
	position, isHeld := table.positions[key]
	if !isHeld {
		return record{}, false
	}
	return table.records[position-table.first], true
}

// put adds or renews a reservation.
func (table *table) put(added record) {
	table.positions[added.key] = table.first + uint64(len(table.records))
	table.records = append(table.records, added)
}

// remove deletes the reservation of a key if it has the token and was not released; it reports whether it did.
func (table *table) remove(key Key, token uint64) bool {
	found, isHeld := table.get(key)
	isMatch := isHeld && found.token == token && found.refusedUpTo == 0
	if isMatch {
		delete(table.positions, key)
	}
	return isMatch
}

// isCurrent reports whether the record at an index is the present one of its key.
func (table *table) isCurrent(index int) bool {
	position, isHeld := table.positions[table.records[index].key]
	return isHeld && position == table.first+uint64(index)
}

// expire removes the records that have expired.
func (table *table) expire(now time.Time) {
	count := 0
	for count < len(table.records) {
		isCurrent := table.isCurrent(count)
		if isCurrent && now.Before(table.records[count].until) {
			break
		}
		if isCurrent {
			delete(table.positions, table.records[count].key)
		}
		count++
	}
	if count > 0 {
		// The next growth of the slice frees the backing array.
		table.records = table.records[count:]
		table.first += uint64(count)
	}
}

// oldest returns the time at which the first reservation expires; found is false if the table holds none.
func (table *table) oldest() (until time.Time, found bool) {
	for index := range table.records {
		if table.isCurrent(index) {
			return table.records[index].until, true
		}
	}
	return time.Time{}, false
}

// page returns up to limit current records from a position on, and the position of the next page; 0: there is none.
func (table *table) page(position uint64, limit int) (page []record, next uint64) {
	index := 0
	if position > table.first {
		index = int(position - table.first)
	}
	for ; index < len(table.records); index++ {
		if len(page) == limit {
			return page, table.first + uint64(index)
		}
		if table.isCurrent(index) {
			page = append(page, table.records[index])
		}
	}
	return page, 0
}
