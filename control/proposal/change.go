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

// serveChange decides on a request for a change, and submits the change to the chain if it is accepted.
func (proposals *Proposals) serveChange(now time.Time, message *wire.OperatorRequest) {
	if !proposals.admit(now, message) {
		return
	}
	latest := proposals.chain.Latest()
	// The origin resends requests that it assumes lost. A late copy must not be accepted after a refusal was sent.
	late, refused := proposals.refusals.observe(message.Token)
	if late {
		return
	}
	change := &changeRequest{proposals: proposals, message: message, latest: latest, refused: refused}
	if outcome := proposals.chain.Outcome(message.Operation); outcome != nil {
		change.repeat(now, outcome)
		return
	}
	if message.HasSince && message.Since < proposals.chain.OldestRetainedEpoch() {
		detail := fmt.Sprintf("first sent at epoch %d; what became of changes up to epoch %d is not known any more",
			message.Since, proposals.chain.OldestRetainedEpoch())
		change.refuse(now, http.StatusConflict, change.refusal(apierror.StaleBase, detail))
		return
	}
	if message.HasBase && message.Base != latest.SpecEpoch {
		detail := fmt.Sprintf("built on epoch %d; the present one is %d", message.Base, latest.SpecEpoch)
		change.refuse(now, http.StatusConflict, change.refusal(apierror.StaleBase, detail))
		return
	}
	epoch, content, accepted := change.next(now)
	if !accepted || refused {
		return
	}
	change.submit(now, epoch, content)
}

// changeRequest is a request for a change that the head decides on.
type changeRequest struct {
	proposals *Proposals
	message   *wire.OperatorRequest
	latest    *wire.Document
	// refused is set if a copy of this request was refused before, so that it must not be accepted now.
	refused bool
}

// repeat answers a request whose operation id was accepted before. A repetition of the same change gets the outcome of
// the first request and is not applied again. Another change under the same id is refused.
func (change *changeRequest) repeat(now time.Time, outcome *wire.Outcome) {
	if len(outcome.Digest) > 0 && !bytes.Equal(outcome.Digest, digestOf(change.message)) {
		detail := fmt.Sprintf("operation %q is another change, accepted as epoch %d", change.message.Operation,
			outcome.SpecEpoch)
		change.refuse(now, http.StatusConflict, change.refusal(apierror.DuplicateRequest, detail))
		return
	}
	if !change.refused {
		change.proposals.await(now, change.message, outcome.Sequence, outcome.SpecEpoch)
	}
}

// digestOf returns a hash of the content of a request. It is the same for all copies and repetitions of the request.
func digestOf(message *wire.OperatorRequest) []byte {
	content := &wire.OperatorRequest{Verb: message.Verb, Operation: message.Operation, Base: message.Base,
		HasBase: message.HasBase, Zone: message.Zone, Spec: message.Spec, Epoch: message.Epoch, HasEpoch: message.HasEpoch}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		return nil // A received request always encodes; without a digest it would count as the same change.
	}
	hash := sha256.Sum256(encoded)
	return hash[:digestSize]
}

// digestSize is the length of a digest, in bytes.
const digestSize = 16

// submit submits the change to the chain.
func (change *changeRequest) submit(now time.Time, epoch uint64, content []byte) {
	proposals, message := change.proposals, change.message
	// An unhealthy disk would delay this change until the other members detect the failure.
	if proposals.environment.IsUnhealthy(now) {
		reply := change.refusal(apierror.DiskFailed, "the head's disk does not keep up")
		change.refuse(now, http.StatusServiceUnavailable, reply)
		return
	}
	entry := &wire.Entry{Operation: message.Operation, ChangesSpec: true, SpecEpoch: epoch, Spec: content,
		Digest: digestOf(message)}
	if err := proposals.chain.Submit(now, entry); err != nil {
		found := apierror.Of(err)
		change.refuse(now, http.StatusServiceUnavailable, change.refusal(found.Code, found.Detail))
		return
	}
	proposals.counters.Accepted++
	proposals.await(now, message, entry.Sequence, entry.SpecEpoch)
}

// refusal returns a refusal that contains the latest epoch.
func (change *changeRequest) refusal(code apierror.Code, detail string) Reply {
	return refusal(code, change.latest.SpecEpoch, change.message.Operation, detail)
}

// refuse replies with a refusal, at once or, if that rests on an uncommitted configuration, after the commit. No copy
// of the request that arrives after the reply is accepted.
func (change *changeRequest) refuse(now time.Time, status int, reply Reply) {
	proposals, message := change.proposals, change.message
	// While the latest configuration is uncommitted, it may be lost with this head, and the next head might then accept a
	// copy of the request. Once it is committed, every head refuses the request.
	isCommitted := change.latest.SpecEpoch == proposals.chain.Committed().SpecEpoch
	if status != http.StatusServiceUnavailable && !isCommitted {
		proposals.deferRequest(now, message)
		return
	}
	if !change.refused {
		proposals.counters.Refused++
	}
	proposals.refusals.add(message.Token)
	proposals.reply(message, status, reply)
}

// next returns the epoch and the content of the configuration after the change. If the change cannot be accepted, it
// replies with a refusal.
func (change *changeRequest) next(now time.Time) (epoch uint64, content []byte, accepted bool) {
	message, latest := change.message, change.latest
	changed, problems, err := changedSpec(message, latest)
	if err != nil {
		found := apierror.Of(err)
		statuses := map[apierror.Code]int{apierror.Malformed: http.StatusBadRequest,
			apierror.TooLarge: http.StatusRequestEntityTooLarge, apierror.InvalidSpec: http.StatusUnprocessableEntity}
		change.refuse(now, statuses[found.Code], change.refusal(found.Code, found.Detail))
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
		reply := change.refusal(apierror.InvalidSpec, fmt.Sprintf("%d faults", len(problems)))
		reply.Problems = problems
		change.refuse(now, http.StatusUnprocessableEntity, reply)
		return 0, nil, false
	}
	content = changed.Encode()
	// Changes of named entries may grow a configuration beyond the size that can be parsed again.
	if len(content) > config.MaximumBytes {
		detail := fmt.Sprintf("the spec would have %d bytes; at most %d", len(content), config.MaximumBytes)
		change.refuse(now, http.StatusRequestEntityTooLarge, change.refusal(apierror.TooLarge, detail))
		return 0, nil, false
	}
	return epoch, content, true
}

// changedSpec returns the configuration that results from a request, and its faults.
func changedSpec(message *wire.OperatorRequest, latest *wire.Document) (*config.Spec, []config.Problem, error) {
	if message.Verb == VerbApply {
		parsed, err := config.Parse(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		return parsed, parsed.Check(), nil
	}
	current := &config.Spec{Zones: []config.Zone{}, Backends: []config.Backend{}, Routes: config.Routes{}}
	if len(latest.Spec) > 0 {
		decoded, err := config.Decode(latest.Spec)
		if err != nil {
			return nil, nil, err
		}
		current = decoded
	}
	if message.Verb == VerbChange {
		change, err := config.ParseChange(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		next, problems := change.Apply(current)
		return next, problems, nil
	}
	if len(latest.Spec) == 0 {
		return nil, nil, apierror.New(apierror.InvalidSpec, "there is no spec yet whose zones could be closed")
	}
	return withZoneClosed(current, message.Zone, message.Verb == VerbClose)
}

// withZoneClosed closes or opens a zone of a configuration, and returns it with its faults.
func withZoneClosed(spec *config.Spec, zone string, closed bool) (*config.Spec, []config.Problem, error) {
	for index := range spec.Zones {
		if spec.Zones[index].Name == zone {
			spec.Zones[index].Closed = closed
			return spec, spec.Check(), nil
		}
	}
	return nil, nil, apierror.New(apierror.InvalidSpec, "there is no zone %q", zone)
}
