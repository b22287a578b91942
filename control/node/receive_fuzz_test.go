package node

import (
	"bufio"
	"bytes"
	"math/rand"
	"testing"
	"time"

	"wardtray/transport/frame"
	"wardtray/wire"
	"wardtray/wire/wiretest"
)

// fuzzedNodes returns the nodes that receive messages: one at its first start without peers, and the head of a chain.
func fuzzedNodes(now time.Time) []*Node {
	self := &wire.Member{Id: "a", Address: "127.0.0.1:1", Zone: "a"}
	other := &wire.Member{Id: "b", Address: "127.0.0.2:1", Zone: "b"}
	third := &wire.Member{Id: "c", Address: "127.0.0.3:1", Zone: "c"}
	view := &wire.View{
		Epoch:       3,
		Fleet:       "f",
		MinReplicas: 1,
		Chain:       []*wire.Member{self, other},
		Acceptors:   []*wire.Member{self, other, third},
	}
	document := &wire.Document{Sequence: 4, SpecEpoch: 4, Directory: []*wire.Member{{Id: "d", Address: "d", Zone: "a"}}}
	settings := Settings{Address: self.Address, Zone: "a", Seeds: []string{other.Address}}
	founding := settings
	founding.Founding = true
	return []*Node{
		New(now, founding, &wire.DurableState{Id: "a"}, nil, rand.New(rand.NewSource(1))),
		New(now, settings, &wire.DurableState{Id: "a", View: view, Document: document}, nil, rand.New(rand.NewSource(1))),
	}
}

// Guards against messages of other processes that make a node panic or send messages that cannot be encoded.
func FuzzReceive(fuzz *testing.F) {
	for _, sample := range wiretest.Envelopes() {
		content, err := frame.Encode(sample.Envelope)
		if err != nil {
			fuzz.Fatal(err)
		}
		fuzz.Add(content)
		fuzz.Add(append(content, content...))
	}
	fuzz.Fuzz(func(t *testing.T, content []byte) {
		for _, node := range fuzzedNodes(time.Unix(1_700_000_000, 0)) {
			deliver(t, node, content)
		}
	})
}

// deliver delivers every message of a stream to a node, with ticks between them.
func deliver(t *testing.T, node *Node, content []byte) {
	t.Helper()
	now := time.Unix(1_700_000_000, 0)
	for reader := bufio.NewReader(bytes.NewReader(content)); ; {
		envelope, _, err := frame.Decode(reader)
		if err == nil {
			node.Receive(now, envelope)
		}
		now = now.Add(100 * time.Millisecond)
		node.Tick(now)
		messages, writes := node.Ready()
		for _, write := range writes {
			node.Synced(now, write.Sequence)
		}
		for _, message := range messages {
			if _, err := frame.Encode(message.Envelope); err != nil {
				t.Fatal(err)
			}
		}
		if err != nil {
			return
		}
	}
}
