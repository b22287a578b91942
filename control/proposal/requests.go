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
	// resendInterval is the time after which an open request is sent to the head again.
	resendInterval = 300 * time.Millisecond
	// maximumRequests bounds the open requests of one process, and the requests that a head defers.
	maximumRequests = 256
)

// request is an open request: this process received it from an operator and has not replied yet.
type request struct {
	message  *wire.OperatorRequest
	respond  func(status int, body []byte)
	deadline time.Time
	// lastSent is the time at which it was last sent, and view the epoch of the newest known view at that time.
	lastSent time.Time
	view     uint64
	// recipients are the ids of the heads that may have decided on it.
	recipients map[string]bool
}

// Requests handles the requests that this process receives from operators. Each is sent to the head of the newest view,
// resent until there is a response or it times out, and replied to once.
type Requests struct {
	self   *wire.Member
	agent  *view.Agent
	chain  *chain.Chain
	outbox *statemachine.Outbox
	peers  Peers
	// serve handles a request if this process is the head itself.
	serve func(now time.Time, message *wire.OperatorRequest)

	open map[string]*request
	// incarnation differs for each start of the process, nonce numbers the requests of one incarnation.
	incarnation, nonce uint64
	counters           Counters
}

// Peers provides information about the other control nodes.
type Peers struct {
	// AddressOf returns the address at which a member is reached.
	AddressOf func(member *wire.Member) string
	// Incarnation returns the incarnation of a process, 0 if it states none, and whether the process has been heard.
	Incarnation func(id string) (incarnation uint64, heard bool)
}

// Counters are the counters of operators' requests.
type Counters struct {
	// Accepted and Refused count changes at the head.
	Accepted, Refused uint64
	// Unknown counts changes that were replied to with an unknown outcome.
	Unknown uint64
}

// NewRequests returns the requests of a process that is starting, without any open request. incarnation must differ
// between the incarnations of a process, so that a late response to a request of an earlier one is recognized.
func NewRequests(incarnation uint64, self *wire.Member, agent *view.Agent, history *chain.Chain,
	outbox *statemachine.Outbox, peers Peers,
	serve func(now time.Time, message *wire.OperatorRequest)) *Requests {
	return &Requests{self: self, agent: agent, chain: history, outbox: outbox, peers: peers, serve: serve,
		open: map[string]*request{}, incarnation: incarnation}
}

// Counters returns the counters of the requests that this process received.
func (requests *Requests) Counters() Counters { return requests.counters }

// Count returns the number of open requests.
func (requests *Requests) Count() int { return len(requests.open) }

// Submit accepts an operator's request. respond is called once, unless the request is abandoned. The returned token
// identifies the request to Abandon; it is empty if the request was refused at once.
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

// Abandon removes a read whose operator no longer waits, without a response, so that it no longer counts towards
// maximumRequests. A change proceeds: its operator may submit it again, to any process, and learns its outcome.
func (requests *Requests) Abandon(token string) {
	if open := requests.open[token]; open != nil && !isWrite(open.message) {
		delete(requests.open, token)
	}
}

// Tick sends each open request to the head if that is due, and replies to those that have timed out.
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

// send sends a request to the head, unless it was sent under the same view within resendInterval.
func (requests *Requests) send(now time.Time, open *request) {
	// The newest view names the head even if this process cannot act under that view because its disk hangs.
	newest := requests.agent.Newest()
	// A newer view may have another head, to which the request is sent at once.
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
	// A copy may be delayed for long, and only the incarnation of the head to which it is sent knows whether it has
	// refused the request before. So the copy names that incarnation, and a later one drops it.
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

// finishUnresolved replies to a request to which the chain gave no response, or no conclusive one (see HandleResponse).
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
	// A refusal by one head is not conclusive if the request was sent to another head as well, which may still accept it.
	if isWrite(open.message) && response.Status != http.StatusOK && len(open.recipients) > 1 {
		requests.finishUnresolved(open)
		return
	}
	requests.finishEncoded(response.Token, int(response.Status), response.Body)
}
