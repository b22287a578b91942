package emulator

import (
	"context"
	"encoding/json"
	"math/rand"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/load"
	"wardtray/verify/histories"
)

// ListLag is by how much the platform's list and its opinion of daemons trail the truth.
const ListLag = 500 * time.Millisecond

type listedRunner struct {
	RunnerID string `json:"runner_id"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Service  string `json:"service"`
	State    string `json:"state"`
}

// Platform keeps the list of runners and hands clients to daemons of their zone.
type Platform struct {
	record  *histories.History
	mutex   sync.Mutex
	runners map[string]listedRunner
	listed  []byte
	known   map[string]bool
	// ready is since when runners have been listed as such.
	ready   map[string]time.Time
	daemons map[string][]string
	fit     map[string]bool
	random  *rand.Rand
	client  *fasthttp.Client
	server  *fasthttp.Server
	stopped chan struct{}
}

// NewPlatform opens the list at an address. daemons are the HTTP addresses by zone.
func NewPlatform(
	address string,
	daemons map[string][]string,
	record *histories.History,
	seed int64,
) (*Platform, error) {
	platform := &Platform{
		record:  record,
		runners: map[string]listedRunner{},
		listed:  []byte("[]"),
		known:   map[string]bool{},
		ready:   map[string]time.Time{},
		daemons: daemons,
		fit:     map[string]bool{},
		random:  rand.New(rand.NewSource(seed)),
		stopped: make(chan struct{}),
		client: &fasthttp.Client{
			ReadTimeout:         300 * time.Millisecond,
			WriteTimeout:        300 * time.Millisecond,
			MaxIdleConnDuration: time.Second,
		},
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	platform.server = &fasthttp.Server{Handler: platform.handle, Name: "platform"}
	go func() { _ = platform.server.Serve(listener) }()
	go platform.follow()
	return platform, nil
}

// Close ends it.
func (platform *Platform) Close() {
	close(platform.stopped)
	_ = platform.server.Shutdown()
}

func (platform *Platform) handle(context *fasthttp.RequestCtx) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	context.SetContentType("application/json")
	context.SetBody(append([]byte{}, platform.listed...))
}

// Set changes a runner's true state; an empty state takes it off.
func (platform *Platform) Set(runner *Runner, state string) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	if state == "" {
		delete(platform.runners, runner.ID)
		return
	}
	platform.runners[runner.ID] = listedRunner{
		RunnerID: runner.ID,
		Address:  runner.Address,
		Zone:     runner.Zone,
		Service:  runner.Service,
		State:    state,
	}
}

// Settled reports whether a runner has been listed as ready for as long as it takes to be used in full.
func (platform *Platform) Settled(runner *Runner) bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	since, ready := platform.ready[runner.ID]
	return ready && time.Since(since) >= load.SlowStartDuration
}

// follow makes the list, and the opinion of daemons, trail the truth.
func (platform *Platform) follow() {
	ticker := time.NewTicker(ListLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			platform.publish()
			platform.look()
		case <-platform.stopped:
			return
		}
	}
}

func (platform *Platform) publish() {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	lines := make([]listedRunner, 0, len(platform.runners))
	live := map[string]bool{}
	for _, entry := range platform.runners {
		lines = append(lines, entry)
		live[entry.RunnerID] = entry.State != "draining"
		if _, had := platform.ready[entry.RunnerID]; !had && entry.State == "ready" {
			platform.ready[entry.RunnerID] = time.Now()
		}
	}
	sort.Slice(lines, func(left, right int) bool { return lines[left].RunnerID < lines[right].RunnerID })
	content, err := json.Marshal(lines)
	if err != nil {
		return
	}
	now := time.Now()
	platform.record.Change(func(record *histories.History) {
		for _, leave := range record.Drains {
			// A runner that drains never comes back under its identity; one that was only missing may.
			if live[leave.Runner] && leave.Back.IsZero() && !leave.Drained {
				leave.Back = now
			}
		}
	})
	for id, was := range platform.known {
		if was && !live[id] {
			platform.record.Change(func(record *histories.History) {
				record.Drains = append(record.Drains,
					&histories.Drain{At: now, Runner: id, Drained: platform.runners[id].State == "draining"})
			})
		}
	}
	platform.listed, platform.known = content, live
}

// look asks every daemon for its fitness.
func (platform *Platform) look() {
	var waiting sync.WaitGroup
	for _, addresses := range platform.daemons {
		for _, address := range addresses {
			waiting.Add(1)
			go func() {
				defer waiting.Done()
				status, _, err := platform.client.GetTimeout(nil, "http://"+address+"/fitness", 300*time.Millisecond)
				platform.mutex.Lock()
				defer platform.mutex.Unlock()
				platform.fit[address] = err == nil && status == 200
			}()
		}
	}
	waiting.Wait()
}

// Pick returns a fit daemon of a zone, or of another zone where the zone has none.
func (platform *Platform) Pick(zone string) string {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	var near, far []string
	zones := make([]string, 0, len(platform.daemons))
	for name := range platform.daemons {
		zones = append(zones, name)
	}
	sort.Strings(zones)
	for _, name := range zones {
		for _, address := range platform.daemons[name] {
			if platform.fit[address] && name == zone {
				near = append(near, address)
			}
			if platform.fit[address] && name != zone {
				far = append(far, address)
			}
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[platform.random.Intn(len(near))]
}
