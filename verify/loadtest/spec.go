package loadtest

import (
	"time"

	"wardtray/config"
)

// Settings of marker routes, which receive no requests: they distinguish one configuration version from another.
const (
	markerLatencyTarget    = 5 * time.Second
	markerConcurrencyLimit = 0.1
)

// Spec returns the deployment's configuration, with an additional route named after each marker.
func (mix Mix) Spec(zones []string, markers ...string) *config.Spec {
	spec := &config.Spec{
		Backends: []config.Backend{
			{Name: mix.Backend, Model: mix.Model, Weights: mix.Weights, Services: []string{mix.Service}},
		},
	}
	for _, zone := range zones {
		spec.Zones = append(spec.Zones, config.Zone{Name: zone})
	}
	for _, kind := range mix.Kinds {
		spec.Routes = append(spec.Routes, kind.route(mix.Backend))
	}
	for _, marker := range markers {
		spec.Routes = append(spec.Routes, config.Route{
			Name:             marker,
			Backend:          mix.Backend,
			Value:            1,
			LatencyTarget:    config.Duration(markerLatencyTarget),
			ConcurrencyLimit: markerConcurrencyLimit,
			Idempotent:       true,
		})
	}
	return spec
}

// route returns the configuration of the kind's route to a backend.
func (kind Kind) route(backend string) config.Route {
	return config.Route{
		Name:               kind.Route,
		Backend:            backend,
		Value:              kind.Value,
		LatencyTarget:      config.Duration(kind.LatencyTarget),
		ConcurrencyLimit:   kind.ConcurrencyLimit,
		Idempotent:         !kind.AtMostOnce,
		Resumable:          kind.Resumable,
		CancelOnDisconnect: kind.Cancel,
		Pause:              config.Duration(kind.Pause),
		Deadline:           config.Duration(kind.Deadline),
	}
}
