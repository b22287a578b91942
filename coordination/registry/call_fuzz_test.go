package registry

import (
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// A call that was accepted can be sent to every other process, whatever its id and its fields hold.
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

// checkRecord checks what every other process relies on of a record that was accepted.
func checkRecord(t *testing.T, record *wire.Runner) {
	t.Helper()
	for _, text := range []string{
		record.RunnerId, record.Address, record.Zone, record.Service, record.Revision, record.State,
	} {
		if !utf8.ValidString(text) || len(text) > MaximumCallBytes {
			t.Fatalf("%q was taken", text)
		}
	}
	content, err := proto.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	again := &wire.Runner{}
	err = proto.Unmarshal(content, again)
	if err != nil || !proto.Equal(record, again) || Compare(record, again) != 0 {
		t.Fatalf("%v is read back as %v: %v", record, again, err)
	}
}
