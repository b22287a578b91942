package config

import "slices"

// AllowsService reports whether runners of a service may be given the backend's requests.
func (backend *Backend) AllowsService(service string) bool {
	return slices.Contains(backend.Services, service)
}

// ServesModel reports whether the backend serves a model. A backend without a model serves any.
func (backend *Backend) ServesModel(model string) bool {
	return backend.Model == "" || backend.Model == model
}

// ServesAdapter reports whether the backend serves an adapter. It always serves requests without an adapter.
func (backend *Backend) ServesAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(backend.Adapters, adapter)
}

// CancelsOnDisconnect reports whether a run of the route is cancelled when its client disconnects.
func (route *Route) CancelsOnDisconnect() bool { return route.Idempotent || route.CancelOnDisconnect }

// requestCost is the cost of a request in a quota whose unit is a request.
const requestCost = 1

// Limited reports whether the quota sets a limit.
func (quota Quota) Limited() bool { return quota.Rate > 0 }

// Cost returns the cost of a request in units of the quota. tokens is the number of tokens that the request declares;
// declared is false for a request that does not declare its tokens.
func (quota Quota) Cost(tokens int, declared bool) float64 {
	if !quota.Tokens {
		return requestCost
	}
	if !declared {
		return float64(quota.UncountedTokens)
	}
	return float64(tokens)
}
