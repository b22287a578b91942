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

// A runner that is given up for lost ends the streams over which it answered a moment ago by itself; only those
// on which it is silent are cut.
func TestLivelyStreamsOutliveALoss(test *testing.T) {
	listener, failure := net.Listen("tcp", "127.0.0.1:0")
	if failure != nil {
		test.Fatal(failure)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			if connection, failure := listener.Accept(); failure == nil {
				accepted <- connection
			}
		}
	}()
	now, world := time.Now(), seam.Real(nil)
	world.Now = func() time.Time { return now }
	links := New(world, "")
	silent, failure := links.Take("r", listener.Addr().String())
	if failure != nil {
		test.Fatal(failure)
	}
	farSilent := <-accepted
	defer farSilent.Close()
	now = now.Add(2 * livelyBound)
	lively, failure := links.Take("r", listener.Addr().String())
	if failure != nil {
		test.Fatal(failure)
	}
	farLively := <-accepted
	defer farLively.Close()
	links.Lose("r")
	if _, failure := farLively.Write([]byte("x")); failure != nil {
		test.Fatal(failure)
	}
	_ = lively.SetReadDeadline(time.Now().Add(5 * time.Second))
	if one, failure := lively.Reader.ReadByte(); failure != nil || one != 'x' {
		test.Fatalf("the lively stream was cut: %v", failure)
	}
	if _, failure := silent.Write([]byte("x")); failure == nil {
		test.Fatal("the silent one goes on")
	}
	now = now.Add(2 * livelyBound)
	links.Lose("r")
	if _, failure := lively.Write([]byte("x")); failure == nil {
		test.Fatal("one that has gone silent goes on")
	}
}

// Who waits in silence is found, and only those who may go elsewhere are sent there.
func TestSilentRunnersAreFoundAndLeft(test *testing.T) {
	listener, failure := net.Listen("tcp", "127.0.0.1:0")
	if failure != nil {
		test.Fatal(failure)
	}
	defer listener.Close()
	now, world := time.Now(), seam.Real(nil)
	world.Now = func() time.Time { return now }
	links := New(world, "")
	var taken []*Connection
	for _, again := range []bool{true, false} {
		connection, failure := links.Take("r", listener.Addr().String())
		if failure != nil {
			test.Fatal(failure)
		}
		connection.Sent(again)
		taken = append(taken, connection)
	}
	bound := 200 * time.Millisecond
	if silent := links.Silent(bound); len(silent) != 0 {
		test.Fatalf("%v is silent at once", silent)
	}
	now = now.Add(bound)
	if silent := links.Silent(bound); len(silent) != 1 || silent[0] != "r" {
		test.Fatalf("%v is silent; r should be", silent)
	}
	links.Hurry("r", bound)
	if _, failure := taken[0].Write([]byte("x")); failure == nil {
		test.Fatal("who may go elsewhere still waits")
	}
	if _, failure := taken[1].Write([]byte("x")); failure != nil {
		test.Fatalf("who may not was cut: %v", failure)
	}
	// A stream of the same runner that goes on says that it is there.
	taken[1].Answered()
	if silent := links.Silent(bound); len(silent) != 1 {
		test.Fatalf("%v", silent)
	}
	taken[0].Answered()
	taken[0].touch()
	if silent := links.Silent(bound); len(silent) != 0 {
		test.Fatalf("%v is silent while a stream goes on", silent)
	}
}
