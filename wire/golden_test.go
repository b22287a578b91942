package wire_test

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"wardtray/verify/golden"
	"wardtray/wire"
)

const (
	messagesFile    = "golden.txt"
	descriptorsFile = "descriptors.txt"
	// These are the two files of the newest release, which is b5586e0. They are replaced at a release only.
	releasedMessagesFile    = "released.txt"
	releasedDescriptorsFile = "released-descriptors.txt"
)

// goldenNames maps a message or field that was renamed to the full name under which the golden files still know it.
// Names do not travel, so a rename is harmless, but a renamed message or field must keep its bytes: a rename adds a
// line here, for review, and leaves the golden files as they are. What is not here goes by its present name.
var goldenNames = map[protoreflect.FullName]protoreflect.FullName{
	"wardtray.wire.View.acceptors":                    "wardtray.wire.View.keepers",
	"wardtray.wire.View.min_replicas":                 "wardtray.wire.View.floor",
	"wardtray.wire.View.head_term":                    "wardtray.wire.View.head_since",
	"wardtray.wire.View.previous_head":                "wardtray.wire.View.former_head",
	"wardtray.wire.View.previous_term":                "wardtray.wire.View.former_since",
	"wardtray.wire.View.last_writable_chain":          "wardtray.wire.View.reserve",
	"wardtray.wire.ProposalNumber":                    "wardtray.wire.Ballot",
	"wardtray.wire.Document.previous_directory":       "wardtray.wire.Document.former_directory",
	"wardtray.wire.ChainForward":                      "wardtray.wire.ChainPass",
	"wardtray.wire.ChainAck":                          "wardtray.wire.ChainHold",
	"wardtray.wire.LearnRequest":                      "wardtray.wire.LearnAsk",
	"wardtray.wire.LearnResponse":                     "wardtray.wire.LearnAnswer",
	"wardtray.wire.ViewPrepare.proposal":              "wardtray.wire.ViewPrepare.ballot",
	"wardtray.wire.ViewPromise.proposal":              "wardtray.wire.ViewPromise.ballot",
	"wardtray.wire.ViewAccept.proposal":               "wardtray.wire.ViewAccept.ballot",
	"wardtray.wire.ViewAccepted.proposal":             "wardtray.wire.ViewAccepted.ballot",
	"wardtray.wire.ViewRejected":                      "wardtray.wire.ViewRefused",
	"wardtray.wire.ViewUpdate":                        "wardtray.wire.ViewNews",
	"wardtray.wire.ViewRequest":                       "wardtray.wire.ViewAsk",
	"wardtray.wire.LeaderLeaseRequest":                "wardtray.wire.ClaimAsk",
	"wardtray.wire.LeaderLeaseGrant":                  "wardtray.wire.ClaimGrant",
	"wardtray.wire.LeaderLeaseGrant.known_sequence":   "wardtray.wire.ClaimGrant.known",
	"wardtray.wire.Heartbeat":                         "wardtray.wire.Beat",
	"wardtray.wire.Heartbeat.unhealthy":               "wardtray.wire.Beat.sick",
	"wardtray.wire.Heartbeat.reachable":               "wardtray.wire.Beat.heard",
	"wardtray.wire.Heartbeat.decommissioning":         "wardtray.wire.Beat.leaving",
	"wardtray.wire.Heartbeat.unleased_daemons":        "wardtray.wire.Beat.absent",
	"wardtray.wire.OperatorRequest":                   "wardtray.wire.OperatorAsk",
	"wardtray.wire.OperatorResponse":                  "wardtray.wire.OperatorAnswer",
	"wardtray.wire.DaemonLeaseRequest":                "wardtray.wire.TickAsk",
	"wardtray.wire.DaemonLeaseRequest.draining":       "wardtray.wire.TickAsk.leaving",
	"wardtray.wire.DaemonLeaseRequest.incarnation":    "wardtray.wire.TickAsk.life",
	"wardtray.wire.QuotaTenantReport":                 "wardtray.wire.QuotaClaim",
	"wardtray.wire.QuotaReport.tenants":               "wardtray.wire.QuotaReport.claims",
	"wardtray.wire.DaemonLeaseGrant":                  "wardtray.wire.TickGrant",
	"wardtray.wire.DaemonLeaseGrant.runners_checksum": "wardtray.wire.TickGrant.runners",
	"wardtray.wire.DaemonLeasePrompt":                 "wardtray.wire.TickCall",
	"wardtray.wire.DocumentRequest":                   "wardtray.wire.DocumentAsk",
	"wardtray.wire.RequestDispatched":                 "wardtray.wire.Taken",
	"wardtray.wire.RequestDispatched.not_executed":    "wardtray.wire.Taken.dropped",
	"wardtray.wire.GossipEntry":                       "wardtray.wire.Register",
	"wardtray.wire.GossipMessage":                     "wardtray.wire.Rumor",
	"wardtray.wire.GossipMessage.entries":             "wardtray.wire.Rumor.registers",
	"wardtray.wire.DigestEntry":                       "wardtray.wire.DigestLine",
	"wardtray.wire.Digest.entries":                    "wardtray.wire.Digest.lines",
	"wardtray.wire.Digest.response_wanted":            "wardtray.wire.Digest.answer_wanted",
	"wardtray.wire.Digest.runners_checksum":           "wardtray.wire.Digest.runners",
	"wardtray.wire.PeerDescriptor":                    "wardtray.wire.CohortLine",
	"wardtray.wire.Shuffle.peers":                     "wardtray.wire.Shuffle.lines",
	"wardtray.wire.Shuffle.response":                  "wardtray.wire.Shuffle.answer",
	"wardtray.wire.Runner.slow_start_milliseconds":    "wardtray.wire.Runner.cold_milliseconds",
	"wardtray.wire.RunnerUpdate":                      "wardtray.wire.RunnerNews",
	"wardtray.wire.RunnerUpdate.response":             "wardtray.wire.RunnerNews.answer",
	"wardtray.wire.RunnerUpdateAck":                   "wardtray.wire.RunnerNewsHeld",
	"wardtray.wire.RunnerDigest.response_wanted":      "wardtray.wire.RunnerDigest.answer_wanted",
	"wardtray.wire.RunnerHeartbeats":                  "wardtray.wire.RunnersHeard",
	"wardtray.wire.Envelope.protocol_version":         "wardtray.wire.Envelope.edition",
	"wardtray.wire.Envelope.chain_forward":            "wardtray.wire.Envelope.chain_pass",
	"wardtray.wire.Envelope.chain_ack":                "wardtray.wire.Envelope.chain_hold",
	"wardtray.wire.Envelope.learn_request":            "wardtray.wire.Envelope.learn_ask",
	"wardtray.wire.Envelope.learn_response":           "wardtray.wire.Envelope.learn_answer",
	"wardtray.wire.Envelope.view_rejected":            "wardtray.wire.Envelope.view_refused",
	"wardtray.wire.Envelope.view_update":              "wardtray.wire.Envelope.view_news",
	"wardtray.wire.Envelope.view_request":             "wardtray.wire.Envelope.view_ask",
	"wardtray.wire.Envelope.leader_lease_request":     "wardtray.wire.Envelope.claim_ask",
	"wardtray.wire.Envelope.leader_lease_grant":       "wardtray.wire.Envelope.claim_grant",
	"wardtray.wire.Envelope.heartbeat":                "wardtray.wire.Envelope.beat",
	"wardtray.wire.Envelope.operator_request":         "wardtray.wire.Envelope.operator_ask",
	"wardtray.wire.Envelope.operator_response":        "wardtray.wire.Envelope.operator_answer",
	"wardtray.wire.Envelope.daemon_lease_request":     "wardtray.wire.Envelope.tick_ask",
	"wardtray.wire.Envelope.daemon_lease_grant":       "wardtray.wire.Envelope.tick_grant",
	"wardtray.wire.Envelope.document_request":         "wardtray.wire.Envelope.document_ask",
	"wardtray.wire.Envelope.gossip_message":           "wardtray.wire.Envelope.rumor",
	"wardtray.wire.Envelope.request_dispatched":       "wardtray.wire.Envelope.taken",
	"wardtray.wire.Envelope.runner_update":            "wardtray.wire.Envelope.runner_news",
	"wardtray.wire.Envelope.runner_update_ack":        "wardtray.wire.Envelope.runner_news_held",
	"wardtray.wire.Envelope.runner_heartbeats":        "wardtray.wire.Envelope.runners_heard",
	"wardtray.wire.Envelope.daemon_lease_prompt":      "wardtray.wire.Envelope.tick_call",
	"wardtray.wire.AcceptorState":                     "wardtray.wire.Vote",
	"wardtray.wire.Record.acceptor_state":             "wardtray.wire.Record.vote",
	"wardtray.wire.Record.cleared_term":               "wardtray.wire.Record.cleared",
	"wardtray.wire.DurableState":                      "wardtray.wire.Memory",
	"wardtray.wire.DurableState.acceptor_state":       "wardtray.wire.Memory.vote",
	"wardtray.wire.DurableState.cleared_term":         "wardtray.wire.Memory.cleared",
}

// goldenPackage is the name of the protobuf package in the golden files, should the package be renamed.
const goldenPackage = "wardtray.wire"

// goldenName gives the name of a message or field in the golden files.
func goldenName(descriptor protoreflect.Descriptor) string {
	name := descriptor.FullName()
	if kept, renamed := goldenNames[name]; renamed {
		return string(kept)
	}
	if _, isMessage := descriptor.(protoreflect.MessageDescriptor); !isMessage {
		return goldenName(descriptor.Parent()) + "." + string(descriptor.Name())
	}
	if parent, nested := descriptor.Parent().(protoreflect.MessageDescriptor); nested {
		return goldenName(parent) + "." + string(descriptor.Name())
	}
	return goldenPackage + "." + string(descriptor.Name())
}

// messageTypes gives every message of the package, nested ones after their parents.
func messageTypes(t *testing.T) []protoreflect.MessageType {
	t.Helper()
	var found []protoreflect.MessageType
	var collect func(protoreflect.MessageDescriptors)
	collect = func(descriptors protoreflect.MessageDescriptors) {
		for place := range descriptors.Len() {
			descriptor := descriptors.Get(place)
			if descriptor.IsMapEntry() {
				continue
			}
			kind, err := protoregistry.GlobalTypes.FindMessageByName(descriptor.FullName())
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, kind)
			collect(descriptor.Messages())
		}
	}
	// Every file of the protobuf package, should the one that there is be divided.
	protobufPackage := wire.File_wire_proto.Package()
	protoregistry.GlobalFiles.RangeFilesByPackage(protobufPackage, func(file protoreflect.FileDescriptor) bool {
		collect(file.Messages())
		return true
	})
	if len(found) == 0 {
		t.Fatal("no messages found")
	}
	return found
}

// goldenKey gives the key of a filled message in the golden file.
func goldenKey(variant golden.Variant) string {
	descriptor := variant.Message.Descriptor()
	if variant.Case == "" {
		return goldenName(descriptor)
	}
	return goldenName(descriptor.Fields().ByName(protoreflect.Name(variant.Case)))
}

// Every message, with every field set and each alternative of a oneof in turn, encodes to the bytes of the golden file.
func TestMessagesKeepTheirBytes(t *testing.T) {
	var lines []string
	for _, kind := range messageTypes(t) {
		for _, variant := range golden.Variants(kind) {
			content, err := proto.MarshalOptions{Deterministic: true}.Marshal(variant.Message.Interface())
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, fmt.Sprintf("%s %x", goldenKey(variant), content))
		}
	}
	golden.Compare(t, messagesFile, text(lines))
}

// The bytes of the golden file are understood whole: no field is unknown, and they encode to the same bytes again.
func TestGoldenBytesAreUnderstood(t *testing.T) {
	unread := golden.Lines(t, messagesFile)
	for _, kind := range messageTypes(t) {
		for _, variant := range golden.Variants(kind) {
			key := goldenKey(variant)
			digits, found := unread[key]
			if !found {
				t.Errorf("%s is not in the golden file", key)
				continue
			}
			delete(unread, key)
			decodeAgain(t, kind, key, digits)
		}
	}
	for key := range unread {
		t.Errorf("%s is in the golden file, and there is no such message any more", key)
	}
}

// What the newest release writes and sends is understood whole: nothing that it has was removed or took another number.
func TestReleasedBytesAreUnderstood(t *testing.T) {
	released := golden.Lines(t, releasedMessagesFile)
	for _, kind := range messageTypes(t) {
		for _, variant := range golden.Variants(kind) {
			key := goldenKey(variant)
			if digits, found := released[key]; found {
				delete(released, key)
				decodeAgain(t, kind, key, digits)
			}
		}
	}
	for key := range released {
		t.Errorf("%s was released, and there is no such message any more", key)
	}
}

// Every field of the newest release is as it was.
func TestReleasedDescriptorsStay(t *testing.T) {
	present := golden.Lines(t, descriptorsFile)
	for field, form := range golden.Lines(t, releasedDescriptorsFile) {
		if present[field] != form {
			t.Errorf("%s was released as %q and is %q", field, form, present[field])
		}
	}
}

func decodeAgain(t *testing.T, kind protoreflect.MessageType, key, digits string) {
	t.Helper()
	content, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	message := kind.New()
	if err := proto.Unmarshal(content, message.Interface()); err != nil {
		t.Errorf("%s: %v", key, err)
		return
	}
	if golden.Unknown(message) {
		t.Errorf("%s: fields of the golden bytes are unknown", key)
	}
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message.Interface())
	if err != nil || string(again) != string(content) {
		t.Errorf("%s: encodes to %x again, %v", key, again, err)
	}
}

// Every field keeps its number, kind and cardinality under its name, so that two fields of one kind that change places,
// which leaves all bytes as they were, are seen.
func TestDescriptorsStay(t *testing.T) {
	var lines []string
	for _, kind := range messageTypes(t) {
		fields := kind.Descriptor().Fields()
		for place := range fields.Len() {
			lines = append(lines, describe(fields.Get(place)))
		}
	}
	golden.Compare(t, descriptorsFile, text(lines))
}

// describe gives the line of a field.
func describe(field protoreflect.FieldDescriptor) string {
	kind := field.Kind().String()
	if message := field.Message(); message != nil && !field.IsMap() {
		kind = goldenName(message)
	}
	line := fmt.Sprintf("%s %d %s %s", goldenName(field), field.Number(), kind, field.Cardinality())
	if field.IsMap() {
		line += fmt.Sprintf(" map of %s to %s", field.MapKey().Kind(), field.MapValue().Kind())
	}
	if field.IsPacked() {
		line += " packed"
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		line += " of a oneof"
	}
	return line
}

// text gives lines in the order of the alphabet, since the order of messages in their file means nothing.
func text(lines []string) string {
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}
