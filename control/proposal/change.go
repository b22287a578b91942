package proposal

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/wire"
)

// serveChange decides on a request for a change, and enters it into the chain if it is accepted.
func (proposals *Proposals) serveChange(now time.Time, message *wire.OperatorRequest) {
	if !proposals.admit(now, message) {
		return
	}
	latest := proposals.chain.Latest()
	// The origin sends again what it thinks lost; a late copy must not be accepted after a refusal was sent.
	late, refused := proposals.refusals.observe(message.Token)
	if late {
		return
	}
	call := &changeCall{proposals: proposals, message: message, latest: latest, refused: refused}
	if outcome := proposals.chain.Outcome(message.Operation); outcome != nil {
		call.repeat(now, outcome)
		return
	}
	if message.HasSince && message.Since < proposals.chain.ForgottenBefore() {
		detail := fmt.Sprintf("first sent at epoch %d; what became of changes up to epoch %d is not known any more",
			message.Since, proposals.chain.ForgottenBefore())
		call.refuse(now, http.StatusConflict, call.refusal(apierror.StaleBase, detail))
		return
	}
	if message.HasBase && message.Base != latest.SpecEpoch {
		detail := fmt.Sprintf("built on epoch %d; the present one is %d", message.Base, latest.SpecEpoch)
		call.refuse(now, http.StatusConflict, call.refusal(apierror.StaleBase, detail))
		return
	}
	epoch, content, accepted := call.next(now)
	if !accepted || refused {
		return
	}
	call.enter(now, epoch, content)
}

// changeCall is one request for a change, at the head.
type changeCall struct {
	proposals *Proposals
	message   *wire.OperatorRequest
	latest    *wire.Document
	// refused is set if a copy of this request was refused before, so that it must not be accepted any more.
	refused bool
}

// repeat answers a request whose operation was accepted before: the same one gets the first one's outcome, never a
// second effect, and another change under the same id is refused.
func (call *changeCall) repeat(now time.Time, outcome *wire.Outcome) {
	if len(outcome.Digest) > 0 && !bytes.Equal(outcome.Digest, digestOf(call.message)) {
		detail := fmt.Sprintf("operation %q is another change, accepted as epoch %d", call.message.Operation,
			outcome.SpecEpoch)
		call.refuse(now, http.StatusConflict, call.refusal(apierror.DuplicateRequest, detail))
		return
	}
	if !call.refused {
		call.proposals.await(now, call.message, outcome.Sequence, outcome.SpecEpoch)
	}
}

// digestOf returns a hash of what a request asks for, whoever sends it how often.
func digestOf(message *wire.OperatorRequest) []byte {
	asked := &wire.OperatorRequest{Verb: message.Verb, Operation: message.Operation, Base: message.Base,
		HasBase: message.HasBase, Zone: message.Zone, Spec: message.Spec, Epoch: message.Epoch, HasEpoch: message.HasEpoch}
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(asked)
	if err != nil {
		return nil // No request that was received fails to encode; without a digest it counts as the same.
	}
	hash := sha256.Sum256(content)
	return hash[:digestSize]
}

// digestSize is the length of a digest in bytes.
const digestSize = 16

// enter enters the change into the chain.
func (call *changeCall) enter(now time.Time, epoch uint64, content []byte) {
	proposals, message := call.proposals, call.message
	// An unhealthy disk would hold this change up for as long as it takes the others to notice.
	if proposals.environment.IsUnhealthy(now) {
		reply := call.refusal(apierror.DiskFailed, "the head's disk does not keep up")
		call.refuse(now, http.StatusServiceUnavailable, reply)
		return
	}
	entry := &wire.Entry{Operation: message.Operation, ChangesSpec: true, SpecEpoch: epoch, Spec: content,
		Digest: digestOf(message)}
	if err := proposals.chain.Submit(now, entry); err != nil {
		found := apierror.Of(err)
		call.refuse(now, http.StatusServiceUnavailable, call.refusal(found.Code, found.Detail))
		return
	}
	proposals.counters.Accepted++
	proposals.await(now, message, entry.Sequence, entry.SpecEpoch)
}

// refusal returns a refusal that names the present epoch.
func (call *changeCall) refusal(code apierror.Code, detail string) Reply {
	return refusal(code, call.latest.SpecEpoch, call.message.Operation, detail)
}

// refuse answers with a refusal; no copy of the request that arrives later is accepted.
func (call *changeCall) refuse(now time.Time, status int, reply Reply) {
	proposals, message := call.proposals, call.message
	// A spec that is not committed yet may be lost with this head. What is refused because of it might
	// then be accepted from a copy that came in elsewhere. Once it is committed, no copy can ever be.
	isCommitted := call.latest.SpecEpoch == proposals.chain.Committed().SpecEpoch
	if status != http.StatusServiceUnavailable && !isCommitted {
		proposals.postpone(now, message)
		return
	}
	if !call.refused {
		proposals.counters.Refused++
	}
	proposals.refusals.add(message.Token)
	proposals.reply(message, status, reply)
}

// next returns the epoch and the content of the document after the change; if it can't be accepted, that is answered.
func (call *changeCall) next(now time.Time) (epoch uint64, content []byte, accepted bool) {
	message, latest := call.message, call.latest
	changed, problems, err := changedSpec(message, latest)
	if err != nil {
		found := apierror.Of(err)
		statuses := map[apierror.Code]int{apierror.Malformed: http.StatusBadRequest,
			apierror.TooLarge: http.StatusRequestEntityTooLarge, apierror.InvalidSpec: http.StatusUnprocessableEntity}
		call.refuse(now, statuses[found.Code], call.refusal(found.Code, found.Detail))
		return 0, nil, false
	}
	epoch = latest.SpecEpoch + 1
	if message.HasEpoch {
		epoch = message.Epoch
	}
	if message.HasEpoch && message.Epoch <= latest.SpecEpoch {
		detail := fmt.Sprintf("%d is not above the present one, %d", message.Epoch, latest.SpecEpoch)
		problems = append(problems, config.Problem{Path: "epoch", Detail: detail})
	}
	if len(problems) > 0 {
		reply := call.refusal(apierror.InvalidSpec, fmt.Sprintf("%d faults", len(problems)))
		reply.Problems = problems
		call.refuse(now, http.StatusUnprocessableEntity, reply)
		return 0, nil, false
	}
	content = changed.Encode()
	// Named changes may grow a spec beyond what could be read again.
	if len(content) > config.MaximumBytes {
		detail := fmt.Sprintf("the spec would have %d bytes; at most %d", len(content), config.MaximumBytes)
		call.refuse(now, http.StatusRequestEntityTooLarge, call.refusal(apierror.TooLarge, detail))
		return 0, nil, false
	}
	return epoch, content, true
}

// changedSpec returns the spec that a request asks for, and its faults.
func changedSpec(message *wire.OperatorRequest, latest *wire.Document) (*config.Spec, []config.Problem, error) {
	if message.Verb == VerbApply {
		parsed, err := config.Parse(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		return parsed, parsed.Check(), nil
	}
	present := &config.Spec{Zones: []config.Zone{}, Backends: []config.Backend{}, Routes: config.Routes{}}
	if len(latest.Spec) > 0 {
		decoded, err := config.Decode(latest.Spec)
		if err != nil {
			return nil, nil, err
		}
		present = decoded
	}
	if message.Verb == VerbChange {
		change, err := config.ParseChange(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		next, problems := change.Apply(present)
		return next, problems, nil
	}
	if len(latest.Spec) == 0 {
		return nil, nil, apierror.New(apierror.InvalidSpec, "there is no spec yet whose zones could be closed")
	}
	return withZoneClosed(present, message.Zone, message.Verb == VerbClose)
}

// withZoneClosed closes or opens a zone of a spec.
func withZoneClosed(spec *config.Spec, zone string, closed bool) (*config.Spec, []config.Problem, error) {
	for index := range spec.Zones {
		if spec.Zones[index].Name == zone {
			spec.Zones[index].Closed = closed
			return spec, spec.Check(), nil
		}
	}
	return nil, nil, apierror.New(apierror.InvalidSpec, "there is no zone %q", zone)
}
