package proxy

import (
	"wardtray/balancer/scheduler"
	"wardtray/proxy/dedup"
)

// ranWords are what is said of the work of a request that was sent before.
var ranWords = map[dedup.State]string{dedup.Ran: "ran", dedup.Running: scheduler.Unknown, dedup.Unknown: scheduler.Unknown, dedup.TakenElsewhere: scheduler.Unknown}

// take notes a request that must run at most once, before anything else can be said of it; it gives what
// is known if it was sent before.
func (exchange *Exchange) take() dedup.State {
	if exchange.request.Fresh {
		return ""
	}
	key := dedup.KeyOf(exchange.request.Route, exchange.request.ID)
	if exchange.said = exchange.handler.Once.Lookup(key); exchange.said != "" {
		return exchange.said
	}
	catalog := exchange.handler.Snapshot().Catalog
	if catalog == nil {
		return ""
	}
	if route := routeOf(catalog, exchange.request); route == nil || route.Idempotent {
		return ""
	}
	known, fresh := exchange.handler.Once.Begin(exchange.now(), key)
	if fresh {
		exchange.key = &key
	}
	exchange.said = known
	return known
}

// settle notes how a request that must run at most once ended.
func (exchange *Exchange) settle(state dedup.State) {
	if exchange.key == nil {
		return
	}
	if state != "" {
		exchange.handler.Once.Finish(exchange.now(), *exchange.key, state)
		return
	}
	// What surely did not run may be sent again, here and elsewhere in the zone.
	exchange.handler.Once.Forget(*exchange.key)
	if exchange.told {
		exchange.handler.Tell(*exchange.key, true)
	}
}
