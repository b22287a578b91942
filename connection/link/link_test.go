package link

import (
	"net"
	"testing"
	"time"

	"wardtray/connection/seam"
	"wardtray/process/fault"
	"wardtray/proof/history"
	"wardtray/proof/standin"
)

// free gives an address that nobody listens on.
func free(test *testing.T) string {
	listener, failure := net.Listen("tcp", "127.0.0.1:0")
	if failure != nil {
		test.Fatal(failure)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func runner(test *testing.T, id, address string) *standin.Runner {
	made := &standin.Runner{ID: id, Address: address, Zone: "a", Service: "s", Model: "m", Weights: "w"}
	if failure := standin.Start(made, standin.DefaultNature, history.New()); failure != nil {
		test.Fatal(failure)
	}
	test.Cleanup(made.Crash)
	return made
}

// A gone runner's address that another now has: no connection to it is given out, new or kept.
func TestReusedAddressGetsNobodyElsesWork(test *testing.T) {
	address := free(test)
	former := runner(test, "old", address)
	links := New(seam.Real(nil), "/identity")
	connection, failure := links.Take("old", address)
	if failure != nil || connection.Identity.Service != "s" {
		test.Fatalf("%v", failure)
	}
	links.Keep(connection, 0)
	if again, failure := links.Take("old", address); failure != nil || again != connection {
		test.Fatalf("a kept connection was not used again: %v", failure)
	}
	links.Keep(connection, 0)
	former.Crash()
	// The end of the connection reaches this side a moment after the crash; reading waits for it.
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, failure := connection.Reader.ReadByte(); failure == nil {
		test.Fatal("a crashed runner still speaks")
	}
	runner(test, "new", address)
	if _, failure := links.Take("old", address); !fault.Is(failure, fault.WrongIdentity) {
		test.Fatalf("the old runner's work: %v", failure)
	}
	if _, failure := links.Take("new", address); failure != nil {
		test.Fatalf("the new runner's own: %v", failure)
	}
	if links.Counters.WrongIdentity.Load() != 1 {
		test.Fatal("not counted")
	}
}

func TestNobodyThere(test *testing.T) {
	if _, failure := New(seam.Real(nil), "/identity").Take("r", free(test)); !fault.Is(failure, fault.Unreachable) {
		test.Fatal(failure)
	}
}
