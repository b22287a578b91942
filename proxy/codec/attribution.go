package codec

// Attribution classifies a response by the request ids that it echoes.
type Attribution int

// The attributions of a response.
const (
	// Unnamed: the response carries no id.
	Unnamed Attribution = iota
	// Own: the response carries the id of the request, once or more, and no other.
	Own
	// Foreign: the response carries only ids of other requests.
	Foreign
	// Mixed: the response carries the id of the request and others.
	Mixed
)

// Attribute compares the ids that a response echoes with the id of the request.
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
