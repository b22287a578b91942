package config

import (
	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/strictjson"
)

// Parse reads an operator's document: unknown and repeated keys are Malformed errors, more than MaximumBytes is
// TooLarge. It does not check values; see Spec.Check.
func Parse(content []byte) (*Spec, error) {
	parsed := &Spec{}
	if err := parseStrictly(content, "spec", parsed); err != nil {
		return nil, err
	}
	return parsed, nil
}

// Decode reads a document that Encode wrote after it had passed Spec.Check, and so skips the strict pass of Parse. A
// failure is an Internal error.
func Decode(content []byte) (*Spec, error) {
	decoded := &Spec{}
	if err := easyjson.Unmarshal(content, decoded); err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "reading a spec that was checked before")
	}
	return decoded, nil
}

// Encode returns the canonical form: equal documents have equal bytes.
func (spec *Spec) Encode() []byte { return encode(spec) }

// parseStrictly parses an operator's document or change; name is its kind in error messages.
func parseStrictly(content []byte, name string, parsed easyjson.Unmarshaler) error {
	if len(content) > MaximumBytes {
		return apierror.New(apierror.TooLarge, "a %s of %d bytes; at most %d", name, len(content), MaximumBytes)
	}
	if err := strictjson.Check(content); err != nil {
		return err
	}
	if err := easyjson.Unmarshal(content, parsed); err != nil {
		return apierror.New(apierror.Malformed, "%v", err)
	}
	return nil
}

// encode returns the canonical JSON of a document or a part of one.
func encode(value easyjson.Marshaler) []byte {
	content, err := easyjson.Marshal(value)
	if err != nil {
		panic(err) // Plain fields always marshal; an error is a defect of this package.
	}
	return content
}
