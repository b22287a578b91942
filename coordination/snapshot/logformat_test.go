package snapshot

import (
	"bytes"
	"testing"

	"wardtray/apierror"
)

func TestDecodeLog(t *testing.T) {
	header, first, second := EncodeLogHeader(3), EncodeRecord([]byte("first")), EncodeRecord([]byte("second"))
	damaged := bytes.Clone(first)
	damaged[recordHeaderLength] ^= 1
	for name, test := range map[string]struct {
		parts    [][]byte
		records  int
		torn     int
		dataLost bool
	}{
		"no record":                       {parts: [][]byte{header}},
		"two records":                     {parts: [][]byte{header, first, second}, records: 2},
		"a torn header of a record":       {parts: [][]byte{header, first, second[:3]}, records: 1, torn: 3},
		"a torn record":                   {parts: [][]byte{header, first, second[:9]}, records: 1, torn: 9},
		"zeros at the end":                {parts: [][]byte{header, first, make([]byte, 64)}, records: 1, torn: 64},
		"a damaged last record":           {parts: [][]byte{header, damaged}, torn: len(damaged)},
		"a damaged record before another": {parts: [][]byte{header, damaged, second}, dataLost: true},
		"a torn header of the log":        {parts: [][]byte{header[:logHeaderLength-1]}, dataLost: true},
		"no header of the log":            {parts: [][]byte{first, second}, dataLost: true},
		"the header of a slot":            {parts: [][]byte{EncodeSlot(3, nil)}, dataLost: true},
	} {
		content := bytes.Join(test.parts, nil)
		decoded, err := decodeLog(content)
		if apierror.Is(err, apierror.DataLost) != test.dataLost || (err != nil) != test.dataLost {
			t.Errorf("%s: error %v", name, err)
			continue
		}
		if test.dataLost {
			continue
		}
		torn := len(content) - decoded.length
		if decoded.generation != 3 || len(decoded.records) != test.records || torn != test.torn {
			t.Errorf("%s: generation %d, %d records, %d torn bytes",
				name, decoded.generation, len(decoded.records), torn)
		}
	}
}
