package registry

import (
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// Every accepted call must be encodable for all other processes: one record that is not valid UTF-8 would prevent the
// message that carries it from being sent.
func FuzzRead(f *testing.F) {
	f.Add("r1", []byte(`{"address":"10.0.0.1:80","zone":"a","service":"s",`+
		`"revision":"v1","slots":4,"state":"ready","call":7,"cold":"5s"}`))
	f.Add("r\xff", []byte(`{"address":"10.0.0.1:80","zone":"a","service":"s","slots":4,"state":"draining"}`))
	f.Add("r1", []byte("{\"address\":\"10.0.0.1:80\",\"zone\":\"a\xfe\",\"service\":\"s\","+
		"\"revision\":\"\xff\",\"slots\":4,\"state\":\"ready\"}"))
	f.Add("r1", []byte(`{"address":"[::1%eth0]:80","zone":"a","service":"s",`+
		`"revision":"\ud800","slots":4,"state":"ready"}`))
	f.Fuzz(func(t *testing.T, id string, content []byte) {
		record, err := ParseCall(id, content)
		if err != nil {
			return
		}
		checkRecord(t, record)
	})
}

// checkRecord checks the properties of an accepted record on which other processes rely.
func checkRecord(t *testing.T, record *wire.Runner) {
	t.Helper()
	for _, text := range []string{
		record.RunnerId, record.Address, record.Zone, record.Service, record.Revision, record.State,
	} {
		if !utf8.ValidString(text) || len(text) > MaximumCallBytes {
			t.Fatalf("%q was accepted", text)
		}
	}
	content, err := proto.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	decoded := &wire.Runner{}
	err = proto.Unmarshal(content, decoded)
	if err != nil || !proto.Equal(record, decoded) || Compare(record, decoded) != 0 {
		t.Fatalf("%v is decoded as %v: %v", record, decoded, err)
	}
}
