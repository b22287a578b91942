package proxy

import (
	"time"

	"wardtray/proxy/dedup"
)

// atMostOnce keeps a request of a route that runs at most once from running again when its client sends it again, to
// this daemon or to another one of the zone. For any other request it does nothing.
type atMostOnce struct {
	table *dedup.Table
	// announce tells the zone's other daemons that the request is sent to a runner, or, with dropped, that it certainly
	// did not run.
	announce func(key dedup.Key, dropped bool)
	// key is that of the request once this daemon has accepted it as one that runs at most once.
	key *dedup.Key
	// announced says that the other daemons were told of the request.
	announced bool
	// readOnly has accept look a request up without recording it, for a dry run.
	readOnly bool
}

// accept records a request, unless it was sent before: then it returns what is known of it. It is called before
// anything else can be said of the request. applies reports whether the request's route runs at most once; it is not
// called for a request that is known.
func (guard *atMostOnce) accept(clock func() time.Time, key dedup.Key, applies func() bool) dedup.State {
	if known := guard.table.Lookup(key); known != dedup.NotSeen {
		return known
	}
	if guard.readOnly || !applies() {
		return dedup.NotSeen
	}
	known, isNew := guard.table.Begin(clock(), key)
	if isNew {
		guard.key = &key
	}
	return known
}

// announceSend tells the zone that the request is about to be sent, once.
func (guard *atMostOnce) announceSend() {
	if guard.key != nil && !guard.announced {
		guard.announced = true
		guard.announce(*guard.key, false)
	}
}

// finish records how a request ended that may have run.
func (guard *atMostOnce) finish(now time.Time, state dedup.State) {
	if guard.key != nil {
		guard.table.Finish(now, *guard.key, state)
	}
}

// forget lets a request that certainly did not run be sent again, here and to the zone's other daemons.
func (guard *atMostOnce) forget() {
	if guard.key == nil {
		return
	}
	guard.table.Forget(*guard.key)
	if guard.announced {
		guard.announce(*guard.key, true)
	}
}
