package proxy

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/proxy/admission"
)

// configurationTimeout bounds how long a request waits until its daemon's configuration is known to be current again.
const configurationTimeout = time.Second

// routeOf returns the route that a request names, or the one that matches its host and path; nil if there is none.
func routeOf(catalog *config.Catalog, request *admission.Request) *config.Route {
	if request.Route != "" || request.Target == "" {
		return catalog.Routes[request.Route]
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return catalog.Match(request.Authority, path)
}

// backendOf returns the route's backend or, if the route is split, the backend that the request id selects; nil if
// there is none.
//
// The request id determines the selection, so each lookup selects the same backend without stored state.
func backendOf(catalog *config.Catalog, route *config.Route, request *admission.Request) *config.Backend {
	return catalog.BackendAt(route, fraction(request.ID))
}

// fraction maps a text to a number in [0, 1), with a uniform distribution over many texts.
func fraction(text string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(text)>>(64-mantissaBits)) / (1 << mantissaBits)
}

// serves reports whether a backend has the model and the adapter that a request needs.
func serves(backend *config.Backend, request *admission.Request) bool {
	return (backend.Model == "" || backend.Model == request.Model) && backend.ServesAdapter(request.Adapter)
}

// resolve waits until the newest configuration is known to be current, looks up the route and the backend of the
// request in it, and creates the queue entry for the scheduler of the backend.
func (exchange *Exchange) resolve() error {
	if !exchange.awaitConfiguration() {
		if exchange.client.hasDisconnected() {
			return errClientDisconnected()
		}
		return apierror.New(apierror.NotServing,
			"this daemon does not know for sure that its spec is the present one")
	}
	catalog, request := exchange.handler.Snapshot().Catalog, exchange.request
	route, backend, err := lookUp(catalog, request)
	if err != nil {
		return err
	}
	// A request that was relayed in part stays with the backend that started it.
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

// lookUp returns a request's route and backend, or an error that names what the configuration lacks.
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

// identifyTenant finds the tenant whose key the request carries. A stream that was relayed in part keeps its tenant.
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

// awaitConfiguration reports whether the daemon's configuration is known to be current. If it is not, it waits for at
// most configurationTimeout, since a renewal may be about to arrive.
func (exchange *Exchange) awaitConfiguration() bool {
	until := exchange.now().Add(configurationTimeout)
	// No request waits past the client's own deadline, whatever its route.
	if own := newDeadline(exchange.deadline.started, exchange.request.Timeout).until; !own.IsZero() && own.Before(until) {
		until = own
	}
	for {
		// The channel is requested before the snapshot is read, so that a renewal between the two is not missed.
		renewed := exchange.handler.Renewed()
		snapshot, now := exchange.handler.Snapshot(), exchange.now()
		if snapshot.Catalog == nil {
			return false
		}
		if now.Before(snapshot.ExpiresAt) {
			return true
		}
		if exchange.client.hasDisconnected() || !now.Before(until) {
			return false
		}
		exchange.handler.Environment.Wait(exchange.client.ctx, until.Sub(now), renewed)
	}
}
