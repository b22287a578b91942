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
	// programName is the name of the program in its status and in its Server header.
	programName = "wtcore"

	// requestTimeout bounds reading a request, and writing its response.
	requestTimeout = proposal.ConnectionTimeout
	// idleTimeout is the time for which a connection stays open between two requests.
	idleTimeout = time.Minute
	// bodyMargin is the number of bytes by which a request body may exceed the maximum size of a configuration.
	bodyMargin = 1024
	// maximumHeadBytes bounds the request line and the header fields of a request.
	maximumHeadBytes = 16 << 10
	// maximumConnections bounds the connections that are served concurrently.
	maximumConnections = 1024

	contentTypeJSON = "application/json"
	// retryAfter is the Retry-After header, in seconds, of responses with status 503.
	retryAfter = "1"
)

// listenHTTP starts the HTTP server and serves it in the background.
func (server *Server) listenHTTP(ctx context.Context) (*fasthttp.Server, error) {
	httpServer := &fasthttp.Server{
		Handler:            server.routes().Handler,
		Name:               programName,
		ReadTimeout:        requestTimeout,
		WriteTimeout:       requestTimeout,
		IdleTimeout:        idleTimeout,
		MaxRequestBodySize: config.MaximumBytes + bodyMargin,
		ReadBufferSize:     maximumHeadBytes,
		Concurrency:        maximumConnections,
		CloseOnShutdown:    true,
		NoDefaultDate:      true,
	}
	// A process that is stopped during its start still listens, so that it can be decommissioned in an orderly way.
	listening := net.ListenConfig{}
	listener, err := listening.Listen(context.WithoutCancel(ctx), "tcp", server.settings.HTTP)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.InvalidSettings, "listening on %s", server.settings.HTTP)
	}
	go func() {
		if err := httpServer.Serve(listener); err != nil {
			server.log.Error("the HTTP server failed; requests at its address are not served until a restart",
				"cause", err.Error())
		}
	}()
	return httpServer, nil
}

// routes returns all routes of the HTTP server.
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

// refusal returns the reply to a refused request.
func refusal(code apierror.Code, detail string) proposal.Reply {
	return proposal.Reply{Outcome: proposal.OutcomeRefused, Code: string(code), Detail: detail}
}

// WriteReply responds with a reply. If the reply has an error code but no remedy, it adds the remedy for the code.
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

// writeBody responds with a status and a JSON body.
func writeBody(request *fasthttp.RequestCtx, status int, content []byte) {
	request.SetContentType(contentTypeJSON)
	request.SetStatusCode(status)
	request.SetBody(content)
}

// RefuseDisconnected refuses a call whose caller has closed its connection, and reports whether it did. The process may
// read such a call long after the close, for example after a freeze of this machine; a caller that still needs a
// response has called again.
func RefuseDisconnected(request *fasthttp.RequestCtx) bool {
	if !netio.Disconnected(request.Conn()) {
		return false
	}
	request.SetConnectionClose()
	reply := refusal(apierror.ClientDisconnected, "the caller has closed its connection")
	WriteReply(request, fasthttp.StatusServiceUnavailable, reply)
	return true
}
