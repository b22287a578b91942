package load

// inFlightRequests counts the requests that this daemon has in flight on a runner.
type inFlightRequests struct {
	// total counts all of them, unanswered those for which no response event has arrived.
	total, unanswered int
}

// RequestStarted counts a request that this daemon dispatches to a runner.
func (table *Table) RequestStarted(runner string) {
	service := ""
	table.update(runner, func(entry *entry) {
		entry.requests.total++
		entry.requests.unanswered++
		service = entry.listing.Service
	})
	table.services.markUsed(service)
}

// FirstEventReceived records that the first response event of a counted request has arrived.
func (table *Table) FirstEventReceived(runner string) {
	table.update(runner, func(entry *entry) { entry.requests.unanswered-- })
}

// RequestEnded removes a request that RequestStarted counted; answered says whether FirstEventReceived was called too.
func (table *Table) RequestEnded(runner string, answered bool) {
	table.update(runner, func(entry *entry) {
		entry.requests.total--
		if !answered {
			entry.requests.unanswered--
		}
	})
}
