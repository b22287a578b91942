package simulation

// engineSlots are how many runs a runner works on at once; further ones wait for their turn.
type engineSlots struct {
	coroutines *coroutines
	// limit is how many there are, used how many are taken.
	limit, used int
	// waiting hand a free slot over to those that wait, in their order; each reports whether it is taken.
	waiting []func() bool
}

// acquire parks the running coroutine until it has a slot; it reports whether the request's connection stood so long.
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

// release hands the slot to the next that still waits.
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
