package codec

// Attribution is whose response it is by the ids that it carries back.
type Attribution int

// The attributions of a response.
const (
	// Unnamed: it carries no id.
	Unnamed Attribution = iota
	// Own: it carries the id of the request, once or more, and no other.
	Own
	// Foreign: it carries ids of other requests alone.
	Foreign
	// Mixed: it carries the id of the request and others.
	Mixed
)

// Attribute compares the ids that a response carries back with that of the request.
func Attribute(ids [][]byte, id string) Attribution {
	own := 0
	for _, found := range ids {
		if string(found) == id {
			own++
		}
	}
	switch {
	case len(ids) == 0:
		return Unnamed
	case own == len(ids):
		return Own
	case own == 0:
		return Foreign
	default:
		return Mixed
	}
}
