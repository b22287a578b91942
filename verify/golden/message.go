package golden

import (
	"fmt"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// maximumDepth is the depth to which nested messages are filled; entries of a document nest three deep.
const maximumDepth = 4

// elements is the number of elements in a filled list: two, so that a reversed order is detected.
const elements = 2

// Variant is a filled message. Case is the name of the oneof's alternative that is set, or empty for a message without
// a oneof.
type Variant struct {
	Case    string
	Message protoreflect.Message
}

// Variants returns a message with every field set, once for each alternative of its oneof. The values depend on the
// field numbers and kinds alone, so that a rename does not change them.
func Variants(messageType protoreflect.MessageType) []Variant {
	oneofs := messageType.Descriptor().Oneofs()
	if oneofs.Len() == 0 {
		message := messageType.New()
		fill(message, nil, maximumDepth)
		return []Variant{{Message: message}}
	}
	var variants []Variant
	for index := range oneofs.Len() {
		alternatives := oneofs.Get(index).Fields()
		for alternative := range alternatives.Len() {
			field := alternatives.Get(alternative)
			message := messageType.New()
			fill(message, field, maximumDepth)
			variants = append(variants, Variant{Case: string(field.Name()), Message: message})
		}
	}
	return variants
}

// fill sets every field of a message down to a depth. In a oneof it sets the chosen alternative, or the first if none
// is chosen.
func fill(message protoreflect.Message, chosen protoreflect.FieldDescriptor, depth int) {
	if depth == 0 {
		return
	}
	fields := message.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		if !selected(field, chosen) {
			continue
		}
		switch {
		case field.IsMap():
			entries := message.Mutable(field).Map()
			key := value(field.MapKey(), nil, 0, depth).MapKey()
			entries.Set(key, value(field.MapValue(), entries.NewValue, 0, depth))
		case field.IsList():
			list := message.Mutable(field).List()
			for element := range elements {
				list.Append(value(field, list.NewElement, element, depth))
			}
		default:
			message.Set(field, value(field, func() protoreflect.Value { return message.NewField(field) }, 0, depth))
		}
	}
}

// selected reports whether fill sets a field: one outside of any oneof, or the alternative that fill sets.
func selected(field, chosen protoreflect.FieldDescriptor) bool {
	oneof := field.ContainingOneof()
	if oneof == nil {
		return true
	}
	if chosen != nil && chosen.ContainingOneof() == oneof {
		return field == chosen
	}
	return field == oneof.Fields().Get(0)
}

// value returns a value for a field, or for the element of its list with an index. create returns an empty value.
func value(field protoreflect.FieldDescriptor, create func() protoreflect.Value, index, depth int) protoreflect.Value {
	// Above 127, so that a varint takes more than one byte.
	number := int64(field.Number())*1000 + int64(index)
	switch field.Kind() {
	case protoreflect.MessageKind:
		message := create()
		fill(message.Message(), nil, depth-1)
		return message
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text", number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(fmt.Sprint("bytes", number)))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(-number)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(-number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) + 0.5)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number) + 0.5)
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		return protoreflect.ValueOfEnum(values.Get(values.Len() - 1).Number())
	}
	panic(fmt.Sprintf("%s: no value for a field of kind %s", field.FullName(), field.Kind()))
}

// HasUnknownFields reports whether a message, or a message nested in it, contains fields that its descriptor lacks.
func HasUnknownFields(message protoreflect.Message) bool {
	if len(message.GetUnknown()) > 0 {
		return true
	}
	unknown := false
	message.Range(func(field protoreflect.FieldDescriptor, fieldValue protoreflect.Value) bool {
		switch {
		case field.Kind() != protoreflect.MessageKind || field.IsMap():
		case field.IsList():
			for index := range fieldValue.List().Len() {
				unknown = unknown || HasUnknownFields(fieldValue.List().Get(index).Message())
			}
		default:
			unknown = HasUnknownFields(fieldValue.Message())
		}
		return !unknown
	})
	return unknown
}
