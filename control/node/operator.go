package node

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/wire"
)

// parked is a question that this machine must answer but can't yet.
type parked struct {
	message *wire.OperatorRequest
	until   time.Time
}

// ask is an operator's question that came in at this machine.
type ask struct {
	message *wire.OperatorRequest
	answer  func(status int, body []byte)
	until   time.Time
	sent    time.Time
	// The view under which it was sent.
	view uint64
	// The machines that may have taken it.
	passed map[string]bool
}

// Reply is the shape of every answer to an operator.
type Reply struct {
	Operation string           `json:"operation,omitempty"`
	Outcome   string           `json:"outcome"`
	Epoch     uint64           `json:"epoch"`
	Kind      string           `json:"kind,omitempty"`
	Detail    string           `json:"detail,omitempty"`
	Remedy    string           `json:"remedy,omitempty"`
	Flaws     []config.Problem `json:"flaws,omitempty"`
	Spec      json.RawMessage  `json:"spec,omitempty"`
}

// Encode gives a reply as it is written.
func (reply Reply) Encode() []byte {
	content, err := json.Marshal(reply)
	if err != nil {
		panic(err) // Only a spec that is no JSON could fail here, and none is ever stored.
	}
	return content
}

func refusal(kind apierror.Code, epoch uint64, operation, detail string) Reply {
	return Reply{Operation: operation, Outcome: "refused", Epoch: epoch, Kind: string(kind), Detail: detail,
		Remedy: (&apierror.Error{Code: kind}).Remedy()}
}

// Ask takes an operator's question; answer is called once. The token is that of Abandon; empty: it was answered at once.
func (node *Node) Ask(now time.Time, message *wire.OperatorRequest, answer func(status int, body []byte)) (token string) {
	if len(node.asks) >= maximumAsks {
		answer(503, refusal(apierror.Busy, 0, message.Operation, "too many questions wait here").Encode())
		return ""
	}
	node.nonce++
	message.Token = fmt.Sprintf("%s/%x/%d", node.self.Id, node.incarnation, node.nonce)
	message.Origin = node.self.Address
	node.asks[message.Token] = &ask{message: message, answer: answer, until: now.Add(askBound), passed: map[string]bool{}}
	node.tendAsks(now)
	return message.Token
}

// Abandon forgets a question whose operator waits no more, without an answer, so that it takes no place from others'. A
// change goes on: its operator sends it again, here or elsewhere, and is helped by whatever has come of it meanwhile.
func (node *Node) Abandon(token string) {
	if open := node.asks[token]; open != nil && !writes(open.message) {
		delete(node.asks, token)
	}
}

// tendAsks sends each open question to whoever must answer it, again where that may have failed.
func (node *Node) tendAsks(now time.Time) {
	tokens := make([]string, 0, len(node.asks))
	for token := range node.asks {
		tokens = append(tokens, token)
	}
	sort.Strings(tokens)
	for _, token := range tokens {
		open := node.asks[token]
		if open == nil {
			continue
		}
		if now.After(open.until) {
			node.giveUp(open)
			continue
		}
		// A machine whose disk hangs still knows whom to ask, though it can't act under that view itself.
		current := node.agent.Newest()
		// Another view has another head or tail, which need not be left waiting.
		if current.Epoch == 0 || open.view == current.Epoch && now.Sub(open.sent) < askAgain {
			continue
		}
		open.sent, open.view = now, current.Epoch
		target := current.Chain[0]
		if target.Id == node.self.Id {
			if node.chain.Head() {
				open.passed[target.Id] = true
			}
			node.serve(now, open.message)
			continue
		}
		open.passed[target.Id] = true
		node.outbox.Send(node.detector.AddressOf(target), &wire.Envelope{Body: &wire.Envelope_OperatorRequest{OperatorRequest: open.message}})
	}
}

// giveUp answers for a chain that did not.
func (node *Node) giveUp(open *ask) {
	if writes(open.message) && len(open.passed) > 0 {
		node.counters.Unknown++
		reply := refusal(apierror.OutcomeUnknown, 0, open.message.Operation, "no answer in time; ask with: wtctl operation "+open.message.Operation)
		reply.Outcome = "unknown"
		node.finish(open.message.Token, 504, reply.Encode())
		return
	}
	node.finish(open.message.Token, 503, refusal(apierror.NoMajority, 0, open.message.Operation, "the chain gave no answer in time").Encode())
}

func (node *Node) finish(token string, status int, body []byte) {
	if open := node.asks[token]; open != nil {
		delete(node.asks, token)
		open.answer(status, body)
	}
}

func (node *Node) onOperatorAsk(now time.Time, message *wire.OperatorRequest) {
	if message.Origin != node.self.Address {
		node.serve(now, message)
	}
}

func writes(message *wire.OperatorRequest) bool {
	return message.Verb != "get" && message.Verb != "operation"
}

func (node *Node) onOperatorAnswer(message *wire.OperatorResponse) {
	open := node.asks[message.Token]
	if open == nil {
		return
	}
	// A refusal by one head says nothing of another head that was asked too and may yet accept.
	if writes(open.message) && message.Status != 200 && len(open.passed) > 1 {
		node.giveUp(open)
		return
	}
	node.finish(message.Token, int(message.Status), message.Body)
}

// reply sends an answer to where the question came in.
func (node *Node) reply(message *wire.OperatorRequest, status int, reply Reply) {
	if message.Origin == node.self.Address {
		node.finish(message.Token, status, reply.Encode())
		return
	}
	node.outbox.Send(message.Origin, &wire.Envelope{Body: &wire.Envelope_OperatorResponse{OperatorResponse: &wire.OperatorResponse{
		Token: message.Token, Status: uint32(status), Body: reply.Encode()}}})
}

// serve answers as head or tail; whoever is neither stays silent, and the asker tries again.
func (node *Node) serve(now time.Time, message *wire.OperatorRequest) {
	verbs := map[string]func(now time.Time, message *wire.OperatorRequest){
		"get": node.serveGet, "operation": node.serveOperation,
		"apply": node.serveChange, "change": node.serveChange, "close": node.serveChange, "open": node.serveChange,
	}
	if verb := verbs[message.Verb]; verb != nil {
		verb(now, message)
	}
}

// park keeps a question until this machine can answer it. Without that it would wait until its asker
// sends it again.
func (node *Node) park(now time.Time, message *wire.OperatorRequest) {
	for _, parked := range node.head.parked {
		if parked.message.Token == message.Token {
			return
		}
	}
	if len(node.head.parked) < maximumAsks {
		node.head.parked = append(node.head.parked, parked{message: message, until: now.Add(parkBound)})
	}
}

// serveParked tries the parked questions once more, when there is a chance; what still can't be answered is
// parked again.
func (node *Node) serveParked(now time.Time) {
	if len(node.head.parked) == 0 || !node.answers(now) {
		return
	}
	waiting := node.head.parked
	node.head.parked = nil
	for _, parked := range waiting {
		if now.After(parked.until) {
			continue
		}
		node.serve(now, parked.message)
		if last := len(node.head.parked) - 1; last >= 0 && node.head.parked[last].message == parked.message {
			node.head.parked[last].until = parked.until
		}
	}
}

// answers tells whether this machine could answer any question now: as head.
func (node *Node) answers(now time.Time) bool { return node.leadership.IsLeading(now) }

func (node *Node) serveGet(now time.Time, message *wire.OperatorRequest) {
	if !node.chain.Head() {
		return
	}
	if !node.leadership.IsLeading(now) {
		node.park(now, message)
		return
	}
	document := node.chain.Committed()
	reply := Reply{Outcome: "found", Epoch: document.SpecEpoch, Spec: document.Spec}
	if len(document.Spec) == 0 {
		reply = Reply{Outcome: "empty"}
	}
	node.reply(message, 200, reply)
}

func (node *Node) serveOperation(now time.Time, message *wire.OperatorRequest) {
	if !node.leads(now, message) {
		return
	}
	outcome := node.chain.Outcome(message.Operation)
	if outcome == nil {
		node.reply(message, 404, refusal(apierror.NotFound, 0, message.Operation, "no accepted change has this id so far"))
		return
	}
	if node.delivered(now, outcome.Sequence) {
		node.reply(message, 200, Reply{Operation: message.Operation, Outcome: "accepted", Epoch: outcome.SpecEpoch})
		return
	}
	node.reply(message, 200, Reply{Operation: message.Operation, Outcome: "pending", Epoch: outcome.SpecEpoch})
}

// leads tells whether this machine may answer a question as head; a head that may not yet parks it.
func (node *Node) leads(now time.Time, message *wire.OperatorRequest) bool {
	leading := node.leadership.IsLeading(now)
	if !leading && node.chain.Head() {
		node.park(now, message)
	}
	return leading
}
