package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

const (
	// operatorTimeout is the timeout for a response; a control machine responds within 6 s.
	operatorTimeout = 9 * time.Second
	// maximumResponse is the maximum size of a response body, in bytes.
	maximumResponse = 64 << 20
)

// Operator changes the configuration of a fleet through any of its control machines and records each change. It is safe
// for concurrent use. It uses net/http and its own types, so that it doesn't share defects with the client under test.
type Operator struct {
	client  *http.Client
	history *histories.History
	calls   callRecorder
}

func newOperator(history *histories.History) *Operator {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Operator{client: &http.Client{Timeout: operatorTimeout, Transport: transport}, history: history}
}

// Reply is a control machine's response to an operator.
type Reply struct {
	// Status is the HTTP status.
	Status  int `json:"-"`
	Outcome string
	Epoch   uint64
	Spec    json.RawMessage
}

// Get reads the committed configuration. The error is a StatusError if there is none, or if it can't be read now.
func (operator *Operator) Get(ctx context.Context, core *Process) (Reply, error) {
	return operator.read(ctx, core, "/v1/spec", linearizability.Call{Kind: linearizability.KindRead})
}

// Outcome reads the outcome of a change. The error is a StatusError if the outcome is not known.
func (operator *Operator) Outcome(ctx context.Context, core *Process, operation string) (Reply, error) {
	return operator.read(ctx, core, "/v1/operations/"+url.PathEscape(operation),
		linearizability.Call{Kind: linearizability.KindLookup, Operation: operation})
}

// read sends a read-only call and records it.
func (operator *Operator) read(
	ctx context.Context,
	core *Process,
	path string,
	record linearizability.Call,
) (Reply, error) {
	sent := time.Now()
	reply, err := operator.call(ctx, http.MethodGet, core, path, nil)
	operator.record(record, sent, time.Now(), reply, err)
	if err == nil && reply.Status != http.StatusOK {
		return reply, &StatusError{Path: path, Status: reply.Status}
	}
	return reply, err
}

// Apply replaces the configuration by the order's Spec, with the order's Base as the expected epoch, and records the
// order with its outcome.
func (operator *Operator) Apply(ctx context.Context, core *Process, request *histories.OperatorRequest) {
	request.Verb, request.HasBase = proposal.VerbApply, true
	path := fmt.Sprintf("/v1/spec?base=%d&operation=%s", request.Base, url.QueryEscape(request.Operation))
	operator.submit(ctx, core, request, http.MethodPut, path, request.Spec.Encode())
}

// Zone closes or opens a zone and records the request with its outcome. The verb is proposal.VerbClose or VerbOpen.
func (operator *Operator) Zone(ctx context.Context, core *Process,
	operation, verb, zone string) *histories.OperatorRequest {
	request := &histories.OperatorRequest{Operation: operation, Verb: verb, Zone: zone}
	path := fmt.Sprintf("/v1/zones/%s/%s?operation=%s", url.PathEscape(zone), verb, url.QueryEscape(operation))
	operator.submit(ctx, core, request, http.MethodPost, path, nil)
	return request
}

// submit sends a change, adds the outcome to its order and records it. A change without a readable reply has an unknown
// outcome.
func (operator *Operator) submit(
	ctx context.Context,
	core *Process,
	request *histories.OperatorRequest,
	method, path string,
	body []byte,
) {
	request.Sent = time.Now()
	reply, err := operator.call(ctx, method, core, path, body)
	request.Got = time.Now()
	request.HTTPStatus, request.Outcome, request.Epoch = reply.Status, reply.Outcome, reply.Epoch
	if err != nil {
		request.Outcome = proposal.OutcomeUnknown
	}
	operator.history.Change(func(history *histories.History) { history.Orders = append(history.Orders, request) })
	operator.record(linearizability.Call{Kind: linearizability.KindChange, Operation: request.Operation,
		Base: request.Base, HasBase: request.HasBase}, request.Sent, request.Got, reply, err)
}

// record records a call with its reply for the check of linearizability.
func (operator *Operator) record(call linearizability.Call, sent, got time.Time, reply Reply, err error) {
	started := operator.history.Started
	call.Span = linearizability.Span{Start: sent.Sub(started), End: got.Sub(started)}
	observed := linearizability.Observed{Kind: call.Kind, HasBase: call.HasBase, Status: reply.Status,
		Outcome: reply.Outcome}
	if err != nil {
		// A call without a readable reply may take effect at any later time, or never.
		observed.Status, call.End = 0, linearizability.Never
	}
	call.Answer, call.Result = observed.Answer(), reply.Epoch
	operator.calls.add(call)
}

// call sends a request and decodes the reply. If it can't be decoded, call returns the status and the error.
func (operator *Operator) call(
	ctx context.Context,
	method string,
	core *Process,
	path string,
	body []byte,
) (Reply, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+core.Settings.HTTP+path, bytes.NewReader(body))
	if err != nil {
		return Reply{}, err
	}
	response, err := operator.client.Do(request)
	if err != nil {
		return Reply{}, err
	}
	// The body is read completely, so an error of Close is irrelevant.
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumResponse))
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: response.StatusCode}
	if err := json.Unmarshal(content, &reply); err != nil {
		return reply, fmt.Errorf("decoding the reply of %s to %s: %w", core.Name, path, err)
	}
	return reply, nil
}

// FinalState reads the committed configuration and the outcomes of all recorded changes through a control machine.
func (operator *Operator) FinalState(ctx context.Context, core *Process) (histories.Final, error) {
	reply, err := operator.Get(ctx, core)
	if err != nil {
		return histories.Final{}, fmt.Errorf("reading the configuration at the end: %w", err)
	}
	spec := struct {
		Routes []struct{ Name string } `json:"lanes"`
	}{}
	if err := json.Unmarshal(reply.Spec, &spec); err != nil {
		return histories.Final{}, fmt.Errorf("decoding the configuration at the end: %w", err)
	}
	final := histories.Final{WasRead: true, Epoch: reply.Epoch, Known: map[string]uint64{}}
	for _, route := range spec.Routes {
		final.Routes = append(final.Routes, route.Name)
	}
	for _, operation := range operator.operations() {
		reply, err := operator.Outcome(ctx, core, operation)
		var notKnown *StatusError
		if errors.As(err, &notKnown) {
			continue
		}
		if err != nil {
			return histories.Final{}, fmt.Errorf("reading the outcome of %s at the end: %w", operation, err)
		}
		final.Known[operation] = reply.Epoch
	}
	return final, nil
}

// operations returns the operation IDs of all recorded changes.
func (operator *Operator) operations() []string {
	var operations []string
	operator.history.Change(func(history *histories.History) {
		for _, request := range history.Orders {
			operations = append(operations, request.Operation)
		}
	})
	return operations
}
