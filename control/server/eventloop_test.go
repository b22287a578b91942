package server

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/config/process"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listening := net.ListenConfig{}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Run serves, syncs the node's writes, and returns no error when its context ends.
func TestRunServesUntilItsContextEnds(t *testing.T) {
	address, httpAddress := freeAddress(t), freeAddress(t)
	server, err := New(&process.Settings{
		Folder:   t.TempDir(),
		Address:  address,
		HTTP:     httpAddress,
		Zone:     "a",
		Seeds:    []string{address},
		Founders: []string{address},
		Grace:    "1s",
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	finished := make(chan error, 1)
	go func() { finished <- server.Run(ctx) }()
	eventually(t, "the node founds a view and serves its status", func() bool {
		status, _, err := fasthttp.GetTimeout(nil, "http://"+httpAddress+"/v1/status", testTimeout)
		return err == nil && status == fasthttp.StatusOK && server.status().Core.View > 0
	})
	stop()
	select {
	case err := <-finished:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("Run does not return after its context has ended")
	}
}

// Run of a server without a disk waits until its context ends.
func TestIdleServerStandsBy(t *testing.T) {
	server, err := New(&process.Settings{Diskless: true}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := server.Run(ctx); err != nil {
		t.Error(err)
	}
}
