package server

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/control/node"
	"wardtray/transport"
)

// Status is the response to GET /v1/status.
type Status struct {
	// Program is always "wtcore".
	Program string `json:"program"`
	// Address is the address (host:port) at which other processes of the fleet reach this node.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Uptime is the time since the start, rounded to milliseconds, as time.Duration writes it.
	Uptime   string        `json:"uptime"`
	Core     node.Status   `json:"core"`
	Counters node.Counters `json:"counters"`
	// Wire maps the names of the transport's counters to their values.
	Wire map[string]any `json:"wire"`
}

func (server *Server) handleStatus(request *fasthttp.RequestCtx) {
	writeJSON(request, server.status())
}

// status returns the node's current status.
func (server *Server) status() Status {
	server.mutex.Lock()
	now := time.Now()
	status := Status{
		Program:  programName,
		Address:  server.settings.Address,
		Zone:     server.settings.Zone,
		Uptime:   now.Sub(server.started).Round(time.Millisecond).String(),
		Core:     server.node.Status(now),
		Counters: server.node.Counters(),
	}
	server.mutex.Unlock()
	status.Wire = transport.CounterValues(server.transport)
	return status
}
