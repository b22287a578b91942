package proposal

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/coordination/chain"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

const (
	// resendInterval is how often an open request is sent to the head again.
	resendInterval = 300 * time.Millisecond
	// maximumRequests bounds the open requests of one process, and those that a head defers.
	maximumRequests = 256
)

// request is an operator's request that came in at this process and is not answered.
type request struct {
	message  *wire.OperatorRequest
	respond  func(status int, body []byte)
	deadline time.Time
	// lastSent is when it was last sent, and view the one under which it was.
	lastSent time.Time
	view     uint64
	// recipients are the ids of the processes that may have decided on it.
	recipients map[string]bool
}

// Requests are the operators' requests that came in at this process. Each is sent to the head of the newest view, again
// where that may have failed, and answered once.
type Requests struct {
	self   *wire.Member
	agent  *view.Agent
	chain  *chain.Chain
	outbox *statemachine.Outbox
	peers  Peers
	// serve decides on a request where this process is the head itself.
	serve func(now time.Time, message *wire.OperatorRequest)

	open map[string]*request
	// incarnation is drawn anew by each process, and nonce numbers its requests.
	incarnation, nonce uint64
	counters           Counters
}

// Peers is what requests ask of the other control processes.
type Peers struct {
	// AddressOf returns where a member is reached.
	AddressOf func(member *wire.Member) string
	// Incarnation returns that of a process, 0 where it states none, and whether the process has been heard at all.
	Incarnation func(id string) (incarnation uint64, heard bool)
}

// Counters are what is counted of operators' requests.
type Counters struct {
	// Accepted and Refused count changes at the head.
	Accepted, Refused uint64
	// Unknown counts changes whose operator was told that the outcome is unknown.
	Unknown uint64
}

// NewRequests returns the requests of a process that starts now; none is open. Incarnation must differ between the
// incarnations of a process, so that a late response to a request of an earlier one is recognized.
func NewRequests(incarnation uint64, self *wire.Member, agent *view.Agent, history *chain.Chain,
	outbox *statemachine.Outbox, peers Peers,
	serve func(now time.Time, message *wire.OperatorRequest)) *Requests {
	return &Requests{self: self, agent: agent, chain: history, outbox: outbox, peers: peers, serve: serve,
		open: map[string]*request{}, incarnation: incarnation}
}

// Counters returns what was counted here.
func (requests *Requests) Counters() Counters { return requests.counters }

// Count returns how many requests are open.
func (requests *Requests) Count() int { return len(requests.open) }

// Submit takes an operator's request; respond is called once. The token is that of Abandon; empty: it was answered at
// once.
func (requests *Requests) Submit(now time.Time, message *wire.OperatorRequest,
	respond func(status int, body []byte)) (token string) {
	if len(requests.open) >= maximumRequests {
		busy := refusal(apierror.Busy, 0, message.Operation, "too many questions wait here")
		respond(http.StatusServiceUnavailable, busy.Encode())
		return ""
	}
	requests.nonce++
	message.Token = fmt.Sprintf("%s/%x/%d", requests.self.Id, requests.incarnation, requests.nonce)
	message.Origin = requests.self.Address
	requests.open[message.Token] = &request{message: message, respond: respond, deadline: now.Add(RequestTimeout),
		recipients: map[string]bool{}}
	requests.Tick(now)
	return message.Token
}

// Abandon forgets a request whose operator waits no more, without a response, so that it takes no slot from others'. A
// change goes on: its operator sends it again, here or elsewhere, and learns whatever has come of it meanwhile.
func (requests *Requests) Abandon(token string) {
	if open := requests.open[token]; open != nil && !isWrite(open.message) {
		delete(requests.open, token)
	}
}

// Tick sends each open request to the head where that is due, and answers those whose time is over.
func (requests *Requests) Tick(now time.Time) {
	for _, token := range slices.Sorted(maps.Keys(requests.open)) {
		open := requests.open[token]
		if open == nil {
			continue
		}
		if now.After(open.deadline) {
			requests.finishUnresolved(open)
			continue
		}
		requests.send(now, open)
	}
}

// send sends a request to the head if it was not sent there of late.
func (requests *Requests) send(now time.Time, open *request) {
	// A process whose disk hangs still knows whom to ask, though it can't act under that view itself.
	newest := requests.agent.Newest()
	// Another view may have another head, to which the request goes at once.
	if newest.Epoch == 0 || open.view == newest.Epoch && now.Sub(open.lastSent) < resendInterval {
		return
	}
	head := newest.Chain[0]
	if head.Id == requests.self.Id {
		open.lastSent, open.view = now, newest.Epoch
		if requests.chain.IsHead() {
			open.recipients[head.Id] = true
		}
		requests.serve(now, open.message)
		return
	}
	// A copy may be on its way for long. Only the incarnation that it is meant for knows whether it was refused before.
	incarnation, heard := requests.peers.Incarnation(head.Id)
	if !heard {
		return
	}
	open.lastSent, open.view = now, newest.Epoch
	open.recipients[head.Id] = true
	copied := proto.CloneOf(open.message)
	copied.HeadIncarnation = incarnation
	requests.outbox.Send(requests.peers.AddressOf(head),
		&wire.Envelope{Body: &wire.Envelope_OperatorRequest{OperatorRequest: copied}})
}

// finishUnresolved answers for a chain that gave no answer, or none that is final (see HandleResponse).
func (requests *Requests) finishUnresolved(open *request) {
	operation := open.message.Operation
	if isWrite(open.message) && len(open.recipients) > 0 {
		requests.counters.Unknown++
		reply := unknownOutcome(operation, "no answer in time; ask with: wtctl operation "+operation)
		requests.finish(open.message.Token, http.StatusGatewayTimeout, reply)
		return
	}
	reply := refusal(apierror.NoQuorum, 0, operation, "the chain gave no answer in time")
	requests.finish(open.message.Token, http.StatusServiceUnavailable, reply)
}

func (requests *Requests) finish(token string, status int, reply Reply) {
	requests.finishEncoded(token, status, reply.Encode())
}

func (requests *Requests) finishEncoded(token string, status int, body []byte) {
	if open := requests.open[token]; open != nil {
		delete(requests.open, token)
		open.respond(status, body)
	}
}

// HandleResponse handles the head's response to a request.
func (requests *Requests) HandleResponse(response *wire.OperatorResponse) {
	open := requests.open[response.Token]
	if open == nil {
		return
	}
	// A refusal by one head says nothing of another head that was asked too and may yet accept.
	if isWrite(open.message) && response.Status != http.StatusOK && len(open.recipients) > 1 {
		requests.finishUnresolved(open)
		return
	}
	requests.finishEncoded(response.Token, int(response.Status), response.Body)
}
