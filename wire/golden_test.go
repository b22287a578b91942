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
	// These are copies of the two files in the newest release, commit b5586e0. They are replaced only at a release.
	releasedMessagesFile    = "released.txt"
	releasedDescriptorsFile = "released-descriptors.txt"
)

// goldenNames maps the full name of a renamed message or field to its name in the golden files. Names are not encoded,
// so that a rename is compatible as long as the encoded bytes stay the same. To show that, a rename adds a line here,
// for review, and leaves the golden files unchanged. What is not listed here has its present name there.
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

// goldenPackage is the name of the protobuf package in the golden files. It stays if the package is renamed.
const goldenPackage = "wardtray.wire"

// goldenName returns the name of a message or field in the golden files.
func goldenName(descriptor protoreflect.Descriptor) string {
	name := descriptor.FullName()
	if original, renamed := goldenNames[name]; renamed {
		return string(original)
	}
	if _, isMessage := descriptor.(protoreflect.MessageDescriptor); !isMessage {
		return goldenName(descriptor.Parent()) + "." + string(descriptor.Name())
	}
	if parent, nested := descriptor.Parent().(protoreflect.MessageDescriptor); nested {
		return goldenName(parent) + "." + string(descriptor.Name())
	}
	return goldenPackage + "." + string(descriptor.Name())
}

// messageTypes returns every message type of the package, nested ones after their parents.
func messageTypes(t *testing.T) []protoreflect.MessageType {
	t.Helper()
	var found []protoreflect.MessageType
	var collect func(protoreflect.MessageDescriptors)
	collect = func(descriptors protoreflect.MessageDescriptors) {
		for index := range descriptors.Len() {
			descriptor := descriptors.Get(index)
			if descriptor.IsMapEntry() {
				continue
			}
			messageType, err := protoregistry.GlobalTypes.FindMessageByName(descriptor.FullName())
			if err != nil {
				t.Fatal(err)
			}
			found = append(found, messageType)
			collect(descriptor.Messages())
		}
	}
	// All files of the protobuf package, so that a message that moves to a second file is still checked.
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

// goldenKey returns the key of a filled message in the golden file.
func goldenKey(variant golden.Variant) string {
	descriptor := variant.Message.Descriptor()
	if variant.Case == "" {
		return goldenName(descriptor)
	}
	return goldenName(descriptor.Fields().ByName(protoreflect.Name(variant.Case)))
}

// A message that encodes to other bytes can't be exchanged with processes of an earlier version, or read from their
// disks. Every message, with every field set and with each alternative of a oneof in turn, encodes to the bytes in the
// golden file.
func TestMessagesKeepTheirBytes(t *testing.T) {
	var lines []string
	for _, messageType := range messageTypes(t) {
		for _, variant := range golden.Variants(messageType) {
			content, err := proto.MarshalOptions{Deterministic: true}.Marshal(variant.Message.Interface())
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, fmt.Sprintf("%s %x", goldenKey(variant), content))
		}
	}
	golden.Compare(t, messagesFile, text(lines))
}

// The bytes in the golden file are decoded completely: no field is unknown, and the message encodes to the same bytes
// again.
func TestGoldenBytesAreUnderstood(t *testing.T) {
	remaining := golden.Lines(t, messagesFile)
	for _, messageType := range messageTypes(t) {
		for _, variant := range golden.Variants(messageType) {
			key := goldenKey(variant)
			digits, found := remaining[key]
			if !found {
				t.Errorf("%s is not in the golden file", key)
				continue
			}
			delete(remaining, key)
			checkRoundTrip(t, messageType, key, digits)
		}
	}
	for key := range remaining {
		t.Errorf("%s is in the golden file, but the message does not exist any more", key)
	}
}

// What the newest release sends and stores is decoded completely. This fails if a message or field of that release was
// removed or renumbered.
func TestReleasedBytesAreUnderstood(t *testing.T) {
	released := golden.Lines(t, releasedMessagesFile)
	for _, messageType := range messageTypes(t) {
		for _, variant := range golden.Variants(messageType) {
			key := goldenKey(variant)
			if digits, found := released[key]; found {
				delete(released, key)
				checkRoundTrip(t, messageType, key, digits)
			}
		}
	}
	for key := range released {
		t.Errorf("%s was released, but the message does not exist any more", key)
	}
}

// Every field of the newest release keeps its number, kind and cardinality.
func TestReleasedDescriptorsStay(t *testing.T) {
	present := golden.Lines(t, descriptorsFile)
	for field, description := range golden.Lines(t, releasedDescriptorsFile) {
		if present[field] != description {
			t.Errorf("%s was released as %q and is %q", field, description, present[field])
		}
	}
}

// checkRoundTrip decodes the golden bytes of a message from hexadecimal digits, and checks that no field is unknown and
// that the message encodes to the same bytes again.
func checkRoundTrip(t *testing.T, messageType protoreflect.MessageType, key, digits string) {
	t.Helper()
	content, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatalf("%s: %v", key, err)
	}
	message := messageType.New()
	if err := proto.Unmarshal(content, message.Interface()); err != nil {
		t.Errorf("%s: %v", key, err)
		return
	}
	if golden.HasUnknownFields(message) {
		t.Errorf("%s: fields of the golden bytes are unknown", key)
	}
	again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message.Interface())
	if err != nil || string(again) != string(content) {
		t.Errorf("%s: encodes to %x again, %v", key, again, err)
	}
}

// Every field keeps its number, kind and cardinality under its name. This detects two fields of one kind that exchange
// their numbers, which changes no encoded bytes of filled messages.
func TestDescriptorsStay(t *testing.T) {
	var lines []string
	for _, messageType := range messageTypes(t) {
		fields := messageType.Descriptor().Fields()
		for index := range fields.Len() {
			lines = append(lines, describe(fields.Get(index)))
		}
	}
	golden.Compare(t, descriptorsFile, text(lines))
}

// describe returns the line of a field in the file of descriptors.
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

// text sorts lines and joins them, since the order of messages in wire.proto is of no importance.
func text(lines []string) string {
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}
