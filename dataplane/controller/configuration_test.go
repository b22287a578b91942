package controller

import (
	"errors"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/coordination/gossip"
	"wardtray/wire"
)

// A delayed or corrupted gossip entry must not replace the adopted configuration: a document that is not newer, or that
// can't be decoded, changes nothing.
func TestAdoptRejectsOutdatedAndInvalidDocuments(t *testing.T) {
	adopted := &configuration{}
	if err := adopted.adopt(documentEntry(t, 7)); err != nil {
		t.Fatal(err)
	}
	for _, sequence := range []uint64{6, 7} {
		if err := adopted.adopt(documentEntry(t, sequence)); !errors.Is(err, errOutdatedDocument) {
			t.Errorf("adopting document %d after document 7: error %v", sequence, err)
		}
	}
	for name, document := range map[string]*wire.Document{
		"not packed": {Sequence: 8, SpecEpoch: 8, PackedSpec: []byte("x")},
		"no spec":    {Sequence: 8, SpecEpoch: 8, PackedSpec: config.Pack([]byte("x"))},
	} {
		value, err := proto.Marshal(document)
		if err != nil {
			t.Fatal(err)
		}
		if err := adopted.adopt(&wire.GossipEntry{Key: gossip.DocumentKey, Value: value}); err == nil {
			t.Errorf("document %q was adopted", name)
		}
	}
	if err := adopted.adopt(&wire.GossipEntry{Key: gossip.DocumentKey, Value: []byte{0xff}}); err == nil {
		t.Error("a value that is no document was adopted")
	}
	if adopted.sequence != 7 || adopted.catalog == nil || len(adopted.directory) != 5 {
		t.Errorf("sequence %d, catalog %v, directory %v", adopted.sequence, adopted.catalog, adopted.directory)
	}
}

// The addresses of a zone are in the order of the directory.
func TestAddressesOfAZone(t *testing.T) {
	members := []*wire.Member{{Address: "d2", Zone: "a"}, {Address: "d1", Zone: "b"}, {Address: "d0", Zone: "a"}}
	known := &configuration{directory: members}
	if addresses := known.addressesOf("a"); !slices.Equal(addresses, []string{"d2", "d0"}) {
		t.Errorf("addresses of zone a: %v", addresses)
	}
	if addresses := known.addressesOf("c"); addresses != nil {
		t.Errorf("addresses of zone c: %v", addresses)
	}
}
