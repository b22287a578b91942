package load

import (
	"sync"
	"time"
)

const (
	// maxRefusals is how many refused report requests in a row show that a service's runners give no reports.
	maxRefusals = 2
	// refusedRetryInterval is after what time such a service is asked again all the same.
	refusedRetryInterval = time.Minute
)

// service is what is known of whether a service's runners need to be asked for their load, and answer that.
type service struct {
	// used is whether this daemon has sent it a request.
	used bool
	// reportsInResponses is whether its runners' responses to requests tell their load.
	reportsInResponses bool
	// refusals is how many report requests were refused in a row, the last of them at refusedAt.
	refusals  int
	refusedAt time.Time
}

// needsPolling reports whether runners of the service are to be asked for reports: they answer that, this daemon uses
// them, and their responses to requests don't tell their load. reportsOnly says that nothing but a report ever tells
// the load; then all that answer are asked.
func (service *service) needsPolling(now time.Time, reportsOnly bool) bool {
	if service.refusals >= maxRefusals && now.Sub(service.refusedAt) < refusedRetryInterval {
		return false
	}
	return reportsOnly || service.used && !service.reportsInResponses
}

// serviceTable is what is known of the services, by their names.
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

// reportGiven records that a report request was answered.
func (table *serviceTable) reportGiven(name string) {
	table.update(name, func(service *service) { service.refusals = 0 })
}

func (table *serviceTable) reportRefused(now time.Time, name string) {
	table.update(name, func(service *service) {
		service.refusals++
		service.refusedAt = now
	})
}

// needsPolling reports whether runners of the service of this name are to be asked for reports.
func (table *serviceTable) needsPolling(now time.Time, name string, reportsOnly bool) bool {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	known := table.services[name]
	return known.needsPolling(now, reportsOnly)
}
