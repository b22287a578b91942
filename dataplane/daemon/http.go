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
	// The paths of the product's own endpoints.
	streamPath    = "/v1/stream"
	explainPath   = "/v1/explain"
	statusPath    = "/v1/status"
	readinessPath = "/fitness"

	// readTimeout is how long a client has to send its request, and connectionIdleTimeout how long it may wait with the
	// next one.
	readTimeout           = 10 * time.Second
	connectionIdleTimeout = time.Minute
	// streamTimeout ends streams whose client has stopped reading.
	streamTimeout = 10 * time.Minute
	// maximumConnections is how many clients are served at once.
	maximumConnections = 16384
	// maximumHeaderSize is the largest head of a request, in bytes.
	maximumHeaderSize = 128 << 10
	// The limits of what a client may send on a platform, where the spec has limits of its own.
	maximumAdaptedHeaderSize = 32 << 10
	maximumAdaptedBodySize   = 16 << 20
)

// handler returns the handler of clients' requests: the product's own endpoints, or on a platform one for every path.
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
		daemon.reject(request, apierror.NotFound, string(request.Path()))
	}
	return routes.Handler
}

// stream proxies a request.
func (daemon *Daemon) stream(request *fasthttp.RequestCtx) {
	if ambiguous(request.Request.Header.RawHeaders()) {
		daemon.onMalformed(request, errAmbiguous)
		return
	}
	daemon.Handler.Serve(netio.FromHTTP(request))
}

// serve listens for clients and, if the settings name an address of its own for that, for readiness probes. It returns
// the clients' server.
func (daemon *Daemon) serve(ctx context.Context) (*fasthttp.Server, error) {
	server := daemon.newServer()
	front, err := daemon.listen(ctx, server, daemon.settings.HTTP)
	if err != nil {
		return nil, err
	}
	daemon.front = front
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
		// Name and date are the runner's to send, and a buffer for the longest head of each connection would take too
		// much memory.
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

// listen serves an address and returns its listener.
func (daemon *Daemon) listen(
	ctx context.Context, server *fasthttp.Server, address string,
) (net.Listener, error) {
	listener, err := transport.ListenTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	closable := &closedOnce{Listener: listener}
	go func() {
		if err := server.Serve(closable); err != nil && !errors.Is(err, net.ErrClosed) {
			daemon.log.Error("the HTTP side ended", slog.String("address", address), slog.String("cause", err.Error()))
		}
	}()
	return closable, nil
}

// reject responds with an error to what never became a request of the proxy.
func (daemon *Daemon) reject(request *fasthttp.RequestCtx, code apierror.Code, detail string) {
	refusal := codec.Refusal{Code: code, Detail: detail, Ran: scheduler.DidNotRun, DidNotRun: true}
	daemon.Handler.Codec.Refuse(netio.FromHTTP(request), nil, refusal)
}

// onMalformed responds to what could not be read as a request, and closes the connection.
func (daemon *Daemon) onMalformed(request *fasthttp.RequestCtx, err error) {
	code := apierror.Malformed
	var headTooLarge *fasthttp.ErrSmallBuffer
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.As(err, &headTooLarge) {
		code = apierror.TooLarge
	}
	daemon.reject(request, code, err.Error())
	request.SetConnectionClose()
}

// readiness responds to the platform's question whether to send clients to this daemon.
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
