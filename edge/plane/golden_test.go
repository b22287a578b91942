package plane

import (
	"testing"

	"wardtray/proof/golden"
)

// The platform's list of runners keeps its keys.
func TestListKeepsItsKeys(t *testing.T) { golden.CompareJSON(t, "list-line", golden.Marshal[ListLine]) }
