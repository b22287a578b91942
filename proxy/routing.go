package proxy

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/proxy/admission"
)

// configurationTimeout is how long a request waits for its daemon's configuration to be known to be current again.
const configurationTimeout = time.Second

// routeOf returns the route that a request names, or the one that its host and path choose; nil: there is none.
func routeOf(catalog *config.Catalog, request *admission.Request) *config.Route {
	if request.Route != "" || request.Target == "" {
		return catalog.Routes[request.Route]
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return catalog.Match(request.Authority, path)
}

// backendOf returns the route's backend, or the one of its split that falls to this request; nil: it has none.
//
// Why by its id: the choice is then the same at every look and needs no memory.
func backendOf(catalog *config.Catalog, route *config.Route, request *admission.Request) *config.Backend {
	return catalog.BackendAt(route, fraction(request.ID))
}

// fraction maps a text to a number from 0 to below 1, evenly over many texts.
func fraction(text string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(text)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// serves reports whether a backend has the model and the adapter that a request wants.
func serves(backend *config.Backend, request *admission.Request) bool {
	return (backend.Model == "" || backend.Model == request.Model) && backend.ServesAdapter(request.Adapter)
}

// resolve looks up the request's route and backend in the newest configuration, once that is known to be current, and
// enters the request with the scheduler of its backend.
func (exchange *Exchange) resolve() error {
	if !exchange.awaitConfiguration() {
		if exchange.client.hasLeft() {
			return errClientLeft()
		}
		return apierror.New(apierror.NotServing,
			"this daemon does not know for sure that its spec is the present one")
	}
	catalog, request := exchange.handler.Snapshot().Catalog, exchange.request
	route, backend, err := lookUp(catalog, request)
	if err != nil {
		return err
	}
	// A request that was relayed in part belongs to the backend that began it.
	if exchange.execution.relayed && backend.Name != exchange.backend.Name {
		return apierror.New(apierror.UnknownRoute, "lane %q now belongs to pool %q", route.Name, backend.Name)
	}
	if err := exchange.identifyTenant(catalog, route); err != nil {
		return err
	}
	moved := exchange.scheduler == nil || backend.Name != exchange.backend.Name
	exchange.route, exchange.backend = *route, *backend
	exchange.deadline = newDeadline(exchange.deadline.started, request.Timeout, time.Duration(route.Deadline))
	if moved {
		exchange.enterScheduler()
	}
	return nil
}

// lookUp returns a request's route and backend, or which of them the configuration lacks.
func lookUp(catalog *config.Catalog, request *admission.Request) (*config.Route, *config.Backend, error) {
	route := routeOf(catalog, request)
	if route == nil {
		name := request.Route + request.Authority + request.Target
		return nil, nil, apierror.New(apierror.UnknownRoute, "there is no lane %q", name)
	}
	backend := backendOf(catalog, route, request)
	if backend == nil {
		return nil, nil, apierror.New(apierror.UnknownRoute, "lane %q has no pool", route.Name)
	}
	if backend.Model != "" && backend.Model != request.Model {
		return nil, nil, apierror.New(apierror.UnknownModel, "lane %q serves model %q, not %q",
			route.Name, backend.Model, request.Model)
	}
	if !backend.ServesAdapter(request.Adapter) {
		return nil, nil, apierror.New(apierror.UnknownAdapter, "pool %q has no adapter %q",
			backend.Name, request.Adapter)
	}
	return route, backend, nil
}

// identifyTenant finds the tenant whose key the request carries. A stream that was relayed in part stays its tenant's.
func (exchange *Exchange) identifyTenant(catalog *config.Catalog, route *config.Route) error {
	if exchange.execution.relayed {
		return nil
	}
	tenant, known := catalog.TenantOf(exchange.request.Secret, route)
	if !known {
		return apierror.New(apierror.UnknownKey, "no tenant has the request's key")
	}
	exchange.tenant = tenant
	return nil
}

// awaitConfiguration reports whether the daemon's configuration is known to be current. Where it is not it waits a
// moment, since the daemon may be about to learn a newer one.
func (exchange *Exchange) awaitConfiguration() bool {
	until := exchange.now().Add(configurationTimeout)
	// Nobody waits past the client's own deadline, whatever route the request has.
	if own := newDeadline(exchange.deadline.started, exchange.request.Timeout).until; !own.IsZero() && own.Before(until) {
		until = own
	}
	for {
		// Asked for before the snapshot is read, so that no renewal falls between the two.
		renewed := exchange.handler.Renewed()
		snapshot, now := exchange.handler.Snapshot(), exchange.now()
		if snapshot.Catalog == nil {
			return false
		}
		if now.Before(snapshot.Until) {
			return true
		}
		if exchange.client.hasLeft() || !now.Before(until) {
			return false
		}
		exchange.handler.Environment.Wait(exchange.client.ctx, until.Sub(now), renewed)
	}
}
