package node

import (
	"fmt"
	"time"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/wire"
)

func (node *Node) serveChange(now time.Time, message *wire.OperatorRequest) {
	if !node.leads(now, message) {
		return
	}
	latest := node.chain.Latest()
	// The asker sends again what it thinks lost; a late copy must not be taken after a refusal was told.
	late, refused := node.head.refused.see(message.Token)
	if late {
		return
	}
	if outcome := node.chain.Outcome(message.Operation); outcome != nil {
		if refused {
			return
		}
		// The same operation again gets the first one's outcome, never a second effect.
		node.await(now, message, outcome.Sequence, outcome.SpecEpoch)
		return
	}
	call := &changeCall{node: node, message: message, latest: latest, refused: refused}
	if message.HasBase && message.Base != latest.SpecEpoch {
		call.refuse(now, 409, call.refusal(apierror.StaleBase, fmt.Sprintf("built on epoch %d; the present one is %d", message.Base, latest.SpecEpoch)))
		return
	}
	epoch, content, accepted := call.next(now)
	if !accepted || refused {
		return
	}
	entry := &wire.Entry{Operation: message.Operation, ChangesSpec: true, SpecEpoch: epoch, Spec: content}
	// A sick disk would hold this change up for as long as it takes the others to notice.
	if node.disk.IsUnhealthy(now) {
		call.refuse(now, 503, call.refusal(apierror.DiskFailed, "the head's disk does not keep up"))
		return
	}
	if err := node.chain.Enter(now, entry); err != nil {
		found := apierror.Of(err)
		call.refuse(now, 503, call.refusal(found.Code, found.Detail))
		return
	}
	node.counters.Accepted++
	node.await(now, message, entry.Sequence, entry.SpecEpoch)
}

// changeCall is one call for a change, at the head.
type changeCall struct {
	node    *Node
	message *wire.OperatorRequest
	latest  *wire.Document
	// refused tells that a copy of this call was refused before, so that it must not be taken any more.
	refused bool
}

// refusal is a refusal that names the present epoch.
func (call *changeCall) refusal(kind apierror.Code, detail string) Reply {
	return refusal(kind, call.latest.SpecEpoch, call.message.Operation, detail)
}

// refuse answers with a refusal; no copy of the call that comes later is taken.
func (call *changeCall) refuse(now time.Time, status int, reply Reply) {
	node, message := call.node, call.message
	// A spec that is not committed yet may be lost with this head. What is refused because of it might
	// then be accepted from a copy that came in elsewhere. Once it is committed, no copy can ever be.
	if status != 503 && call.latest.SpecEpoch != node.chain.Committed().SpecEpoch {
		node.park(now, message)
		return
	}
	if !call.refused {
		node.counters.Refused++
	}
	node.head.refused.tell(message.Token)
	node.reply(message, status, reply)
}

// next gives the epoch and the content of the document after the change; if it can't be accepted, that is answered.
func (call *changeCall) next(now time.Time) (epoch uint64, content []byte, accepted bool) {
	message, latest := call.message, call.latest
	changed, flaws, err := call.node.changed(message, latest)
	if err != nil {
		found := apierror.Of(err)
		statuses := map[apierror.Code]int{apierror.Malformed: 400, apierror.TooLarge: 413, apierror.InvalidSpec: 422}
		call.refuse(now, statuses[found.Code], call.refusal(found.Code, found.Detail))
		return 0, nil, false
	}
	epoch = latest.SpecEpoch + 1
	if message.HasEpoch {
		epoch = message.Epoch
	}
	if message.HasEpoch && message.Epoch <= latest.SpecEpoch {
		flaws = append(flaws, config.Problem{Path: "epoch", Detail: fmt.Sprintf("%d is not above the present one, %d", message.Epoch, latest.SpecEpoch)})
	}
	if len(flaws) > 0 {
		reply := call.refusal(apierror.InvalidSpec, fmt.Sprintf("%d faults", len(flaws)))
		reply.Flaws = flaws
		call.refuse(now, 422, reply)
		return 0, nil, false
	}
	content = changed.Encode()
	// Named changes may grow a spec beyond what could be read again.
	if len(content) > config.MaximumBytes {
		call.refuse(now, 413, call.refusal(apierror.TooLarge, fmt.Sprintf("the spec would have %d bytes; at most %d", len(content), config.MaximumBytes)))
		return 0, nil, false
	}
	return epoch, content, true
}

// changed gives the spec that an order asks for, and its flaws.
func (node *Node) changed(message *wire.OperatorRequest, latest *wire.Document) (*config.Spec, []config.Problem, error) {
	if message.Verb == "apply" {
		parsed, err := config.Parse(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		return parsed, parsed.Check(), nil
	}
	present := &config.Spec{Zones: []config.Zone{}, Backends: []config.Pool{}, Routes: config.Routes{}}
	if len(latest.Spec) > 0 {
		read, err := config.Decode(latest.Spec)
		if err != nil {
			return nil, nil, err
		}
		present = read
	}
	if message.Verb == "change" {
		change, err := config.ParseChange(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		next, flaws := change.Apply(present)
		return next, flaws, nil
	}
	if len(latest.Spec) == 0 {
		return nil, nil, apierror.New(apierror.InvalidSpec, "there is no spec yet whose zones could be closed")
	}
	for place := range present.Zones {
		if present.Zones[place].Name == message.Zone {
			present.Zones[place].Closed = message.Verb == "close"
			return present, present.Check(), nil
		}
	}
	return nil, nil, apierror.New(apierror.InvalidSpec, "there is no zone %q", message.Zone)
}
