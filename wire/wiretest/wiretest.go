// Package wiretest provides sample envelopes of every kind for tests.
package wiretest

import (
	"google.golang.org/protobuf/reflect/protoreflect"

	"wardtray/wire"
)

// maximumDepth is the depth to which nested messages are filled.
const maximumDepth = 5

// Sample is an envelope and its kind, the name of its body's field.
type Sample struct {
	Kind     string
	Envelope *wire.Envelope
}

// Envelopes returns, for every kind of body, an envelope with an empty body and one with every field of the body set,
// except maps.
func Envelopes() []Sample {
	fields := (&wire.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	depths := []int{0, maximumDepth}
	samples := make([]Sample, 0, fields.Len()*len(depths))
	for index := range fields.Len() {
		field := fields.Get(index)
		for _, depth := range depths {
			envelope := &wire.Envelope{From: "127.0.0.2:1", Sender: "b", Zone: "a"}
			message := envelope.ProtoReflect()
			fill(message.Mutable(field).Message(), depth)
			samples = append(samples, Sample{Kind: string(field.Name()), Envelope: envelope})
		}
	}
	return samples
}

// fill sets every field of a message except maps, and nested messages down to a depth.
func fill(message protoreflect.Message, depth int) {
	if depth == 0 {
		return
	}
	fields := message.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		switch {
		case field.IsMap():
			continue
		case field.IsList():
			list := message.Mutable(field).List()
			list.Append(element(field, list.NewElement, depth))
		default:
			message.Set(field, element(field, func() protoreflect.Value { return message.NewField(field) }, depth))
		}
	}
}

// element returns a value for a field, or for an element of its list. newValue creates an empty value of the type.
func element(field protoreflect.FieldDescriptor, newValue func() protoreflect.Value, depth int) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.MessageKind:
		value := newValue()
		fill(value.Message(), depth-1)
		return value
	case protoreflect.StringKind:
		return protoreflect.ValueOfString("a")
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(`{"a":1}`))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(1)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(1)
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(1)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(1)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(1)
	default:
		return newValue()
	}
}
