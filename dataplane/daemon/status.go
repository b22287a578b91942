package daemon

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/coordination/quota"
	"wardtray/dataplane/controller"
	"wardtray/metrics"
	"wardtray/transport"
)

// Status is the document that the status endpoint returns.
type Status struct {
	Program     string                          `json:"program"`
	Address     string                          `json:"address"`
	Zone        string                          `json:"zone"`
	Uptime      string                          `json:"uptime"`
	Epoch       uint64                          `json:"epoch"`
	Sequence    uint64                          `json:"sequence"`
	Serving     bool                            `json:"serving"`
	Draining    bool                            `json:"draining"`
	InFlight    int64                           `json:"in_flight"`
	View        uint64                          `json:"view"`
	PartialView []string                        `json:"cohort"`
	Runners     []load.Runner                   `json:"runners"`
	Routes      map[string]metrics.RouteMetrics `json:"lanes"`
	// Tenants holds the usage of the quotas at this daemon, by the tenants' names.
	Tenants    map[string]quota.Usage `json:"tenants,omitempty"`
	Schedulers map[string]any         `json:"desks"`
	Index      map[string]uint64      `json:"index"`
	Links      map[string]uint64      `json:"links"`
	Controller controller.Counters    `json:"director"`
	Wire       map[string]any         `json:"wire"`
	Directory  int                    `json:"directory"`
	// Reservations is the state of the reservations of at-most-once requests; nil if they are disabled.
	Reservations *controller.ReservationStatus `json:"reservations,omitempty"`
}

// status responds with the daemon's status.
func (daemon *Daemon) status(request *fasthttp.RequestCtx) {
	content, err := json.Marshal(daemon.currentStatus(time.Now()))
	if err != nil {
		daemon.refuse(request, apierror.Internal, err.Error())
		return
	}
	request.SetContentType("application/json")
	request.SetBody(content)
}

// currentStatus collects the daemon's status.
func (daemon *Daemon) currentStatus(now time.Time) Status {
	snapshot := daemon.Snapshot()
	status := Status{
		Program:    serverName,
		Address:    daemon.settings.Address,
		Zone:       daemon.settings.Zone,
		Uptime:     now.Sub(daemon.Started()).Round(time.Millisecond).String(),
		Epoch:      snapshot.SpecEpoch,
		Sequence:   snapshot.Sequence,
		Serving:    now.Before(snapshot.ExpiresAt),
		Draining:   daemon.Handler.Draining.Load(),
		InFlight:   daemon.Handler.InFlight.Load(),
		Runners:    daemon.Handler.Loads.Runners(now, daemon.Daemons()),
		Routes:     daemon.Handler.Metrics.Routes(),
		Tenants:    daemon.Handler.Quota.Usage(now),
		Schedulers: daemon.schedulerStatus(),
		Index:      daemon.indexStatus(),
		Links:      daemon.connectionStatus(),
		Wire:       transport.CounterValues(daemon.transport),
		Directory:  len(daemon.Daemons()),
	}
	daemon.WithController(func(machine *controller.Controller) {
		for _, peer := range machine.PartialView() {
			status.PartialView = append(status.PartialView, peer.Address)
		}
		status.View, status.Controller = machine.View().GetEpoch(), machine.Counters()
		status.Reservations = machine.ReservationStatus()
	})
	return status
}

// schedulerStatus returns the state of each scheduler, by the backend's name.
func (daemon *Daemon) schedulerStatus() map[string]any {
	states := map[string]any{}
	daemon.Schedulers(func(backend string, scheduler *scheduler.Scheduler) {
		counters, waiting, routes := scheduler.State()
		states[backend] = map[string]any{
			"counters": counters,
			"waiting":  waiting,
			"lanes":    routes,
			"prices":   scheduler.CostWeights(),
		}
	})
	return states
}

// indexStatus returns the size and the counters of the prefix cache index.
func (daemon *Daemon) indexStatus() map[string]uint64 {
	indexer := daemon.Handler.Indexer
	return map[string]uint64{
		"keys":              uint64(indexer.Index.Len()),
		"events":            indexer.Pool.Applied.Load(),
		"dropped":           indexer.Pool.Dropped.Load(),
		"inferred_removals": indexer.Pool.InferredRemovals.Load(),
	}
}

// connectionStatus returns the counters of the connections to runners.
func (daemon *Daemon) connectionStatus() map[string]uint64 {
	counters := &daemon.Handler.Connections.Counters
	return map[string]uint64{
		"dials":          counters.Dials.Load(),
		"reused":         counters.Reused.Load(),
		"wrong_identity": counters.WrongIdentity.Load(),
		"unreachable":    counters.Unreachable.Load(),
		"lost":           counters.Aborted.Load(),
	}
}
