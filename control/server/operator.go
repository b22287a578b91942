package server

import (
	"encoding/json"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/control/proposal"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const (
	// maximumOperation bounds the id of an operator's change, and the name of a zone, in bytes.
	maximumOperation = 128
	// pathOperation is the route for looking up an operation, whose id is escaped as one segment of the path.
	pathOperation = "/v1/operations/{operation}"
)

// mountOperator adds the operators' routes.
func (server *Server) mountOperator(routes *router.Router) {
	routes.GET("/v1/spec", server.operatorHandler(proposal.VerbGet))
	routes.PUT("/v1/spec", server.operatorHandler(proposal.VerbApply))
	routes.PATCH("/v1/spec", server.operatorHandler(proposal.VerbChange))
	routes.POST("/v1/zones/{zone}/close", server.operatorHandler(proposal.VerbClose))
	routes.POST("/v1/zones/{zone}/open", server.operatorHandler(proposal.VerbOpen))
	routes.GET(pathOperation, server.operatorHandler(proposal.VerbOperation))
}

// operatorHandler returns the handler of one verb: it submits the request to the chain and waits for the response.
func (server *Server) operatorHandler(verb string) fasthttp.RequestHandler {
	return func(request *fasthttp.RequestCtx) {
		if RefuseDisconnected(request) {
			return
		}
		message, err := parseOperatorRequest(verb, request)
		if err != nil {
			found := apierror.Of(err)
			WriteReply(request, fasthttp.StatusBadRequest, refusal(found.Code, found.Detail))
			return
		}
		response := server.executeWhileConnected(request, message)
		if response.status == fasthttp.StatusServiceUnavailable {
			request.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
		}
		writeBody(request, response.status, response.body)
	}
}

// operatorResponse is the node's response to an operator's request.
type operatorResponse struct {
	status int
	body   []byte
}

// submit submits a request to the chain. The response arrives on the channel within proposal.RequestTimeout, unless the
// request is abandoned by its token first.
func (server *Server) submit(message *wire.OperatorRequest) (token string, _ <-chan operatorResponse) {
	// Without an id, an operation could be neither looked up nor distinguished from a retry.
	if message.Operation == "" && message.Verb != proposal.VerbGet {
		message.Operation = newID()
	}
	responses := make(chan operatorResponse, 1)
	server.step(func(now time.Time) {
		token = server.node.Submit(now, message, func(status int, body []byte) {
			responses <- operatorResponse{status, body}
		})
	})
	return token, responses
}

// abandon notifies the node that no caller waits for a response any more.
func (server *Server) abandon(token string) {
	server.step(func(time.Time) { server.node.Abandon(token) })
}

// Execute submits an operator's request to the chain and waits for the response for at most timeout. After that the
// outcome of a change is unknown and the change proceeds; submitting it again with the same operation id, to any node,
// returns its outcome.
func (server *Server) Execute(message *wire.OperatorRequest, timeout time.Duration) (int, proposal.Reply) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	token, responses := server.submit(message)
	select {
	case response := <-responses:
		reply := proposal.Reply{}
		if err := json.Unmarshal(response.body, &reply); err != nil {
			return fasthttp.StatusInternalServerError, unknownOutcome(message, apierror.Internal, err.Error())
		}
		return response.status, reply
	case <-timer.C:
		server.abandon(token)
		return fasthttp.StatusGatewayTimeout, unknownOutcome(message, apierror.OutcomeUnknown, "no answer in time")
	}
}

// executeWhileConnected submits a request and waits for its response for as long as its caller stays connected. A
// caller that has closed only its sending side counts as disconnected, and gets the response that the outcome is
// unknown.
func (server *Server) executeWhileConnected(
	request *fasthttp.RequestCtx, message *wire.OperatorRequest,
) operatorResponse {
	disconnected := make(chan struct{})
	stop := netio.FromHTTP(request).OnDisconnect(func() { close(disconnected) })
	defer stop()
	token, responses := server.submit(message)
	select {
	case response := <-responses:
		return response
	case <-disconnected:
		server.abandon(token)
		request.SetConnectionClose()
		reply := unknownOutcome(message, apierror.OutcomeUnknown, "the caller has closed its connection")
		return operatorResponse{fasthttp.StatusGatewayTimeout, reply.Encode()}
	}
}

// unknownOutcome returns the reply to a request that may still take effect.
func unknownOutcome(message *wire.OperatorRequest, code apierror.Code, detail string) proposal.Reply {
	return proposal.Reply{
		Outcome:   proposal.OutcomeUnknown,
		Operation: message.Operation,
		Code:      string(code),
		Detail:    detail,
	}
}

// parseOperatorRequest parses an operator's HTTP request. Errors have the code Malformed.
func parseOperatorRequest(verb string, request *fasthttp.RequestCtx) (*wire.OperatorRequest, error) {
	message := &wire.OperatorRequest{Verb: verb, Operation: string(request.QueryArgs().Peek("operation"))}
	if err := readSegment(request, "operation", &message.Operation); err != nil {
		return nil, err
	}
	if err := readSegment(request, "zone", &message.Zone); err != nil {
		return nil, err
	}
	// Messages and stored records hold only UTF-8 strings: a change with other bytes could be neither sent nor synced.
	isUTF8 := utf8.ValidString(message.Operation) && utf8.ValidString(message.Zone)
	if len(message.Operation) > maximumOperation || !isUTF8 {
		return nil, apierror.New(apierror.Malformed, "operation, zone: at most %d bytes of UTF-8", maximumOperation)
	}
	var err error
	if message.Base, message.HasBase, err = queryNumber(request, "base"); err != nil {
		return nil, err
	}
	if message.Since, message.HasSince, err = queryNumber(request, "since"); err != nil {
		return nil, err
	}
	if verb != proposal.VerbApply && verb != proposal.VerbChange {
		return message, nil
	}
	if message.Epoch, message.HasEpoch, err = queryNumber(request, "epoch"); err != nil {
		return nil, err
	}
	if !message.HasBase {
		return nil, apierror.New(apierror.Malformed,
			"base: a spec must name the epoch it was built on (0 for the first)")
	}
	message.Spec = append([]byte{}, request.PostBody()...)
	return message, nil
}

// readSegment sets value to the unescaped path segment that the route has under a name. If the route has no such
// segment, value stays unchanged.
func readSegment(request *fasthttp.RequestCtx, name string, value *string) error {
	escaped, found := request.UserValue(name).(string)
	if !found {
		return nil
	}
	unescaped, err := url.PathUnescape(escaped)
	if err != nil {
		return apierror.New(apierror.Malformed, "%s: not escaped as a segment of a path", name)
	}
	*value = unescaped
	return nil
}

// queryNumber parses an unsigned integer of the query; found is false if the query has none under this name.
func queryNumber(request *fasthttp.RequestCtx, name string) (value uint64, found bool, err error) {
	text := request.QueryArgs().Peek(name)
	if len(text) == 0 {
		return 0, false, nil
	}
	value, err = strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0, false, apierror.New(apierror.Malformed, "%s: not a whole number", name)
	}
	return value, true, nil
}
