package load

// inFlightRequests counts our own requests on a runner.
type inFlightRequests struct {
	// total counts all, unanswered those that have no event yet.
	total, unanswered int
}

// RequestStarted counts a request of ours that is dispatched to a runner.
func (table *Table) RequestStarted(runner string) {
	service := ""
	table.update(runner, func(entry *entry) {
		entry.requests.total++
		entry.requests.unanswered++
		service = entry.listing.Service
	})
	table.services.markUsed(service)
}

// FirstEventReceived records that the first event of one of our requests has come.
func (table *Table) FirstEventReceived(runner string) {
	table.update(runner, func(entry *entry) { entry.requests.unanswered-- })
}

// RequestEnded ends a request that was counted; answered says whether its first event was recorded.
func (table *Table) RequestEnded(runner string, answered bool) {
	table.update(runner, func(entry *entry) {
		entry.requests.total--
		if !answered {
			entry.requests.unanswered--
		}
	})
}
