package registry

import (
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// A call that was taken can be told to every other process, whatever its id and its fields hold.
func FuzzRead(fuzz *testing.F) {
	fuzz.Add("r1", []byte(`{"address":"10.0.0.1:80","zone":"a","service":"s","revision":"v1","slots":4,"state":"ready","call":7,"cold":"5s"}`))
	fuzz.Add("r\xff", []byte(`{"address":"10.0.0.1:80","zone":"a","service":"s","slots":4,"state":"draining"}`))
	fuzz.Add("r1", []byte("{\"address\":\"10.0.0.1:80\",\"zone\":\"a\xfe\",\"service\":\"s\",\"revision\":\"\xff\",\"slots\":4,\"state\":\"ready\"}"))
	fuzz.Add("r1", []byte(`{"address":"[::1%eth0]:80","zone":"a","service":"s","revision":"\ud800","slots":4,"state":"ready"}`))
	fuzz.Fuzz(func(t *testing.T, id string, content []byte) {
		line, err := Read(id, content)
		if err != nil {
			return
		}
		checkLine(t, line)
	})
}

// checkLine holds a line that was taken to what every other process relies on.
func checkLine(t *testing.T, line *wire.Runner) {
	t.Helper()
	for _, text := range []string{line.RunnerId, line.Address, line.Zone, line.Service, line.Revision, line.State} {
		if !utf8.ValidString(text) || len(text) > MaximumCall {
			t.Fatalf("%q was taken", text)
		}
	}
	content, err := proto.Marshal(line)
	if err != nil {
		t.Fatal(err)
	}
	again := &wire.Runner{}
	if err := proto.Unmarshal(content, again); err != nil || !proto.Equal(line, again) || Compare(line, again) != 0 {
		t.Fatalf("%v is read back as %v: %v", line, again, err)
	}
}
