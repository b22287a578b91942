package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/transport"
	"wardtray/transport/netio"
)

const (
	serverName = "wtdata"
	// Paths of the native endpoints.
	streamPath    = "/v1/stream"
	explainPath   = "/v1/explain"
	statusPath    = "/v1/status"
	readinessPath = "/fitness"

	// readTimeout is the timeout of reading a request.
	readTimeout = 10 * time.Second
	// connectionIdleTimeout is the time after which a connection without a request is closed.
	connectionIdleTimeout = time.Minute
	// streamTimeout is the timeout of writing a response. It ends streams whose client has stopped reading.
	streamTimeout = 10 * time.Minute
	// maximumConnections is the maximum number of clients that are served at once.
	maximumConnections = 16384
	// maximumHeaderSize is the maximum size of a request's header, in bytes.
	maximumHeaderSize = 128 << 10
	// maximumAdaptedHeaderSize and maximumAdaptedBodySize are the maximum sizes of a request's header and body on a
	// platform, in bytes. The limits in the spec apply as well.
	maximumAdaptedHeaderSize = 32 << 10
	maximumAdaptedBodySize   = 16 << 20
)

// handler returns the handler of client requests: the native endpoints or, on a platform, the proxy for every path.
func (daemon *Daemon) handler() fasthttp.RequestHandler {
	if daemon.adapter != nil {
		return daemon.stream
	}
	routes := router.New()
	routes.POST(streamPath, daemon.stream)
	routes.POST(explainPath, func(request *fasthttp.RequestCtx) { daemon.Handler.Explain(netio.FromHTTP(request)) })
	routes.GET(readinessPath, daemon.readiness)
	routes.GET(statusPath, daemon.status)
	routes.NotFound = func(request *fasthttp.RequestCtx) {
		daemon.refuse(request, apierror.NotFound, string(request.Path()))
	}
	return routes.Handler
}

// stream proxies a request, unless its framing is ambiguous.
func (daemon *Daemon) stream(request *fasthttp.RequestCtx) {
	if hasAmbiguousFraming(request.Request.Header.RawHeaders()) {
		daemon.onMalformed(request, errAmbiguousFraming)
		return
	}
	daemon.Handler.Serve(netio.FromHTTP(request))
}

// serve listens for clients and, if the settings hold a separate address for them, for readiness probes. It returns the
// server for clients.
func (daemon *Daemon) serve(ctx context.Context) (*fasthttp.Server, error) {
	server := daemon.newServer()
	listener, err := daemon.listen(ctx, server, daemon.settings.HTTP)
	if err != nil {
		return nil, err
	}
	daemon.clientListener = listener
	if daemon.settings.Readiness == "" {
		return server, nil
	}
	_, err = daemon.listen(ctx, daemon.newReadinessServer(), daemon.settings.Readiness)
	return server, err
}

// newServer returns the server for clients.
func (daemon *Daemon) newServer() *fasthttp.Server {
	server := &fasthttp.Server{
		Handler:            daemon.handler(),
		ErrorHandler:       daemon.onMalformed,
		Name:               serverName,
		ReadTimeout:        readTimeout,
		WriteTimeout:       streamTimeout,
		IdleTimeout:        connectionIdleTimeout,
		MaxRequestBodySize: admission.MaximumBody,
		ReadBufferSize:     maximumHeaderSize,
		Concurrency:        maximumConnections,
		CloseOnShutdown:    true,
	}
	if daemon.adapter != nil {
		// The headers Server and Date come from the runner. Each connection has a read buffer of its own, which would take
		// too much memory with maximumHeaderSize.
		server.Name = ""
		server.NoDefaultServerHeader, server.NoDefaultDate, server.NoDefaultContentType = true, true, true
		server.ReadBufferSize, server.MaxRequestBodySize = maximumAdaptedHeaderSize, maximumAdaptedBodySize
		server.DisablePreParseMultipartForm = true
	}
	return server
}

// newReadinessServer returns the server for readiness probes and for operators.
func (daemon *Daemon) newReadinessServer() *fasthttp.Server {
	path := readinessPath
	if daemon.adapter != nil {
		path = daemon.adapter.Readiness
	}
	routes := router.New()
	routes.GET(path, daemon.readiness)
	routes.GET(statusPath, daemon.status)
	return &fasthttp.Server{
		Handler:      routes.Handler,
		Name:         serverName,
		ReadTimeout:  readTimeout,
		WriteTimeout: readTimeout,
		IdleTimeout:  connectionIdleTimeout,
	}
}

// listen starts a server at an address and returns its listener.
func (daemon *Daemon) listen(
	ctx context.Context, server *fasthttp.Server, address string,
) (net.Listener, error) {
	listener, err := transport.ListenTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	closable := &onceListener{Listener: listener}
	go func() {
		if err := server.Serve(closable); err != nil && !errors.Is(err, net.ErrClosed) {
			daemon.log.Error("the HTTP server failed; requests at its address are not served until a restart",
				slog.String("address", address), slog.String("cause", err.Error()))
		}
	}()
	return closable, nil
}

// refuse responds with an error to a request that was not passed to the proxy.
func (daemon *Daemon) refuse(request *fasthttp.RequestCtx, code apierror.Code, detail string) {
	refusal := codec.Refusal{Code: code, Detail: detail, Ran: scheduler.DidNotRun, DidNotRun: true}
	daemon.Handler.Codec.Refuse(netio.FromHTTP(request), nil, refusal)
}

// onMalformed responds with an error to a request that could not be parsed, and closes the connection.
func (daemon *Daemon) onMalformed(request *fasthttp.RequestCtx, err error) {
	code := apierror.Malformed
	var headTooLarge *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &headTooLarge) {
		code = apierror.TooLarge
	}
	daemon.refuse(request, code, err.Error())
	request.SetConnectionClose()
}

// readiness responds to a readiness probe, by which the platform decides whether to send clients to this daemon.
func (daemon *Daemon) readiness(request *fasthttp.RequestCtx) {
	if daemon.Handler.Draining.Load() {
		request.Error("draining\n", fasthttp.StatusServiceUnavailable)
		return
	}
	if !daemon.Ready() {
		request.Error("no present spec, or no runner known\n", fasthttp.StatusServiceUnavailable)
		return
	}
	request.SetBodyString("fit\n")
}
