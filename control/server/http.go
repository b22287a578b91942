package server

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/control/proposal"
	"wardtray/transport/netio"
)

const (
	// programName is what the process calls itself in its status and its Server header.
	programName = "wtcore"

	// requestTimeout bounds reading a request, and writing its response.
	requestTimeout = proposal.ConnectionTimeout
	// idleTimeout is how long a connection stays open between two requests.
	idleTimeout = time.Minute
	// envelopeBytes is how much longer than a configuration document a request body may be.
	envelopeBytes = 1024
	// headBytes bounds the head of a request.
	headBytes = 16 << 10
	// maximumConnections bounds the connections that are served at the same time.
	maximumConnections = 1024

	contentTypeJSON = "application/json"
	// retryAfter is how many seconds a caller is asked to wait where nothing was decided.
	retryAfter = "1"
)

// listenHTTP opens the HTTP side and serves it in the background.
func (server *Server) listenHTTP(ctx context.Context) (*fasthttp.Server, error) {
	httpServer := &fasthttp.Server{
		Handler:            server.routes().Handler,
		Name:               programName,
		ReadTimeout:        requestTimeout,
		WriteTimeout:       requestTimeout,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: config.MaximumBytes + envelopeBytes,
		ReadBufferSize:     headBytes,
		Concurrency:        maximumConnections,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
	}
	// A process that is asked to stop while it starts still opens its side, so that it can leave in order.
	listening := net.ListenConfig{}
	listener, err := listening.Listen(context.WithoutCancel(ctx), "tcp", server.settings.HTTP)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.InvalidSettings, "listening on %s", server.settings.HTTP)
	}
	go func() {
		if err := httpServer.Serve(listener); err != nil {
			server.log.Error("the HTTP side ended", "cause", err.Error())
		}
	}()
	return httpServer, nil
}

// routes returns all routes of the HTTP side.
func (server *Server) routes() *router.Router {
	routes := router.New()
	server.mountOperator(routes)
	server.mountRunners(routes)
	if server.Mount != nil {
		server.Mount(routes, server)
	}
	routes.GET("/v1/status", server.handleStatus)
	routes.GET("/fitness", func(request *fasthttp.RequestCtx) { request.SetBodyString("fit\n") })
	routes.NotFound = func(request *fasthttp.RequestCtx) {
		WriteReply(request, fasthttp.StatusNotFound, refusal(apierror.NotFound, string(request.Path())))
	}
	return routes
}

// refusal returns the reply to a call that took no effect.
func refusal(code apierror.Code, detail string) proposal.Reply {
	return proposal.Reply{Outcome: proposal.OutcomeRefused, Code: string(code), Detail: detail}
}

// WriteReply responds with a reply, and adds the remedy for its error code where it has none.
func WriteReply(request *fasthttp.RequestCtx, status int, reply proposal.Reply) {
	if reply.Code != "" && reply.Remedy == "" {
		reply.Remedy = (&apierror.Error{Code: apierror.Code(reply.Code)}).Remedy()
	}
	content, err := json.Marshal(reply)
	if err != nil {
		content = []byte(`{"outcome":"refused","kind":"internal"}`)
	}
	writeBody(request, status, content)
}

// writeJSON responds with a value as JSON.
func writeJSON(request *fasthttp.RequestCtx, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		WriteReply(request, fasthttp.StatusInternalServerError, refusal(apierror.Internal, err.Error()))
		return
	}
	writeBody(request, fasthttp.StatusOK, content)
}

// writeBody responds with a body of JSON.
func writeBody(request *fasthttp.RequestCtx, status int, content []byte) {
	request.SetContentType(contentTypeJSON)
	request.SetStatusCode(status)
	request.SetBody(content)
}

// RejectAbandoned rejects a call whose caller has closed its connection, and reports whether it did. Such a call was
// read behind the close, as after a freeze of this machine; a caller that still wants something has called again.
func RejectAbandoned(request *fasthttp.RequestCtx) bool {
	if !netio.Disconnected(request.Conn()) {
		return false
	}
	request.SetConnectionClose()
	reply := refusal(apierror.ClientDisconnected, "the caller has closed its connection")
	WriteReply(request, fasthttp.StatusServiceUnavailable, reply)
	return true
}
