package simulation

// engineSlots limits the number of requests that a runner works on at once; further ones wait in a FIFO queue.
type engineSlots struct {
	coroutines *coroutines
	// limit is the number of slots, used the number taken.
	limit, used int
	// waiting holds a function for each waiting request, which offers the request a free slot and reports whether the
	// request takes it.
	waiting []func() bool
}

// acquire parks the running coroutine until it has a slot, and reports whether the request's connection stayed open.
func (slots *engineSlots) acquire(connection *conn) bool {
	if slots.used < slots.limit {
		slots.used++
		return true
	}
	coroutine, granted, over := slots.coroutines.current, false, false
	slots.waiting = append(slots.waiting, func() bool {
		if over {
			return false
		}
		granted = true
		slots.coroutines.wake(coroutine)
		return true
	})
	for !granted {
		if connection.err != nil {
			over = true
			return false
		}
		coroutine.park()
	}
	return true
}

// release passes the slot to the next request that still waits.
func (slots *engineSlots) release() {
	for len(slots.waiting) > 0 {
		next := slots.waiting[0]
		slots.waiting = slots.waiting[1:]
		if next() {
			return
		}
	}
	slots.used--
}
