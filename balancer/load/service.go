package load

import (
	"sync"
	"time"
)

const (
	// maxRefusals is the number of consecutive refused report requests after which polling of a service pauses.
	maxRefusals = 2
	// refusedRetryInterval is the length of that pause.
	refusedRetryInterval = time.Minute
)

// service records whether the runners of a service need to be polled for load reports, and whether they provide them.
type service struct {
	// used reports whether this daemon has sent the service a request.
	used bool
	// reportsInResponses reports whether the runners' responses to requests contain their load.
	reportsInResponses bool
	// refusals is the number of report requests refused in a row, the last of them at refusedAt.
	refusals  int
	refusedAt time.Time
}

// needsPolling reports whether the runners of the service are to be polled for reports: they provide reports, this
// daemon uses them, and their responses to requests don't contain their load. reportsOnly says that polled reports are
// the only source of load information; then all services that provide reports are polled.
func (service *service) needsPolling(now time.Time, reportsOnly bool) bool {
	if service.refusals >= maxRefusals && now.Sub(service.refusedAt) < refusedRetryInterval {
		return false
	}
	return reportsOnly || service.used && !service.reportsInResponses
}

// serviceTable holds the services by name. It is safe for concurrent use.
type serviceTable struct {
	mutex    sync.Mutex
	services map[string]service
}

func (table *serviceTable) update(name string, change func(service *service)) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known := table.services[name]
	change(&known)
	table.services[name] = known
}

func (table *serviceTable) markUsed(name string) {
	table.update(name, func(service *service) { service.used = true })
}

func (table *serviceTable) markReportsInResponses(name string) {
	table.update(name, func(service *service) { service.reportsInResponses = true })
}

// reportGiven records that a runner answered a report request with a report.
func (table *serviceTable) reportGiven(name string) {
	table.update(name, func(service *service) { service.refusals = 0 })
}

func (table *serviceTable) reportRefused(now time.Time, name string) {
	table.update(name, func(service *service) {
		service.refusals++
		service.refusedAt = now
	})
}

// needsPolling reports whether the runners of the service with this name are to be polled for reports.
func (table *serviceTable) needsPolling(now time.Time, name string, reportsOnly bool) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known := table.services[name]
	return known.needsPolling(now, reportsOnly)
}
