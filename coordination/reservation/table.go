package reservation

import "time"

// contested is the token of a key that several have reserved. No reservation has it.
const contested = 0

// record is one reservation.
type record struct {
	key Key
	// token is that of the reservation, or contested.
	token uint64
	// refused is set where the reservation was given up: no sending with this or a smaller number may be reserved.
	refused uint32
	// until is when it is forgotten.
	until time.Time
}

// admits reports whether a sending with a token and a number may be reserved although the record is there: it is the
// one that the record is of, or one that its caller sent after it was told that those before don't run.
func (held record) admits(token uint64, number uint32) bool {
	if held.refused > 0 {
		return number == 0 || number > held.refused
	}
	return held.token == token
}

// table holds the reservations of one shard in the order in which they were made or renewed, which is that in which
// they are forgotten. Positions count from 1 and never come again.
type table struct {
	records []record
	// first is the position of the first record.
	first uint64
	// positions has the position of each reservation that is held. A record whose key is not there under its position was
	// renewed or released since.
	positions map[Key]uint64
}

func newTable() *table { return &table{first: 1, positions: map[Key]uint64{}} }

// len returns the number of reservations that are held.
func (table *table) len() int { return len(table.positions) }

// get returns the reservation of a key.
func (table *table) get(key Key) (found record, isHeld bool) {
	position, isHeld := table.positions[key]
	if !isHeld {
		return record{}, false
	}
	return table.records[position-table.first], true
}

// put makes or renews a reservation.
func (table *table) put(made record) {
	table.positions[made.key] = table.first + uint64(len(table.records))
	table.records = append(table.records, made)
}

// remove forgets the reservation of a key if it has a token, and reports whether it had.
func (table *table) remove(key Key, token uint64) bool {
	found, isHeld := table.get(key)
	isMatch := isHeld && found.token == token && found.refused == 0
	if isMatch {
		delete(table.positions, key)
	}
	return isMatch
}

// isCurrent reports whether the record at an index is still held as it is.
func (table *table) isCurrent(index int) bool {
	position, isHeld := table.positions[table.records[index].key]
	return isHeld && position == table.first+uint64(index)
}

// expire forgets what is held no longer at a moment.
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
		// The array behind the slice is left when the slice next outgrows it.
		table.records = table.records[count:]
		table.first += uint64(count)
	}
}

// oldest returns when the first reservation is forgotten; found is false if none is held.
func (table *table) oldest() (until time.Time, found bool) {
	for index := range table.records {
		if table.isCurrent(index) {
			return table.records[index].until, true
		}
	}
	return time.Time{}, false
}

// page returns up to a number of the records that are held from a position on, and the position behind them; 0: there
// are no more.
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
