package simulation

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/wire"
)

// SpecText is a small spec; the number makes each one different.
func SpecText(number int) []byte {
	return []byte(
		fmt.Sprintf(
			`{"zones":[{"name":"a","closed":false},{"name":"b","closed":false},`+
				`{"name":"c","closed":false},{"name":"d","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"l%d","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`,
			number,
		),
	)
}

// Operators send changes now and then: two at once on one base, whole specs and named entries, with epochs
// that climb in uneven steps, closures, reads, and changes sent again unchanged.
type Operators struct {
	world  *World
	number int
	base   uint64
	stop   bool
	every  time.Duration
	// The newest change, and what became of it.
	last  *wire.OperatorRequest
	order *Order
}

// newOperators returns operators that number their changes from one above a number.
func newOperators(world *World, number int) *Operators {
	return &Operators{world: world, number: number}
}

// startOperators has operators send a change about every so often, from now on.
func startOperators(world *World, every time.Duration) *Operators {
	operators := &Operators{world: world, every: every}
	operators.next()
	return operators
}

// Stop ends them.
func (operators *Operators) Stop() { operators.stop = true }

func (operators *Operators) next() {
	if operators.stop {
		return
	}
	world := operators.world
	cores := world.Cores()
	pick := func() *Host { return cores[world.random.Intn(len(cores))] }
	operators.base = world.Check.outcomes.greatestCommitted()
	choices := []func(){
		func() {
			operators.change(pick())
			operators.change(pick())
		},
		func() { operators.change(pick()) },
		func() { operators.changeEntries(pick()) },
		func() {
			operators.changeEntries(pick())
			operators.resend(pick())
		},
		func() {
			operators.apply(pick())
			world.After(time.Duration(world.random.Int63n(int64(2*time.Second))), func() { operators.resend(pick()) })
		},
		func() {
			operators.number++
			verb := []string{"close", "open"}[world.random.Intn(2)]
			world.Check.Send(
				pick(),
				&wire.OperatorRequest{Verb: verb, Zone: []string{"a", "b", "c"}[world.random.Intn(3)],
					Operation: fmt.Sprintf("o%d", operators.number)},
			)
		},
		func() { world.Check.Send(pick(), &wire.OperatorRequest{Verb: "get"}) },
		func() {
			operators.number++
			operation := fmt.Sprintf("o%d", operators.number)
			world.Check.outcomes.expectRefusal(operation)
			invalid := []*wire.OperatorRequest{
				{Verb: "apply", Spec: []byte(`{"zones":[{"name":"a","closed":false}],"pools":[],"lanes":[]}`),
					Base: operators.base, HasBase: true},
				{Verb: "apply", Spec: []byte(`{"zones":`), Base: operators.base, HasBase: true},
				{Verb: "close", Zone: "nowhere"},
				{Verb: "apply", Spec: SpecText(operators.number), Base: operators.base, HasBase: true,
					Epoch: operators.base, HasEpoch: true},
				{Verb: "change",
					Spec: []byte(`{"upsert":{"lanes":[{"name":"lost","pool":"nowhere","patience":"1s"}]}}`),
					Base: operators.base, HasBase: true},
				{Verb: "change", Spec: []byte(`{"remove":{"lanes":["l"]`), Base: operators.base, HasBase: true},
			}[world.random.Intn(6)]
			invalid.Operation = operation
			world.Check.Send(pick(), invalid)
		},
	}
	choices[world.random.Intn(len(choices))]()
	world.After(operators.every/2+time.Duration(world.random.Int63n(int64(operators.every))), operators.next)
}

func (operators *Operators) apply(host *Host) *Order {
	operators.number++
	content := SpecText(operators.number)
	if traffic := operators.world.Traffic; traffic != nil {
		content = traffic.draftSpec(fmt.Sprintf("o%d", operators.number), operators.number)
	}
	return operators.send(host, &wire.OperatorRequest{Verb: "apply", Spec: content})
}

// change sends a whole spec or named entries.
func (operators *Operators) change(host *Host) {
	[]func(host *Host) *Order{operators.apply, operators.changeEntries}[operators.world.random.Intn(2)](host)
}

// changeEntries sends named entries.
func (operators *Operators) changeEntries(host *Host) *Order {
	operators.number++
	content := fmt.Sprintf(
		`{"upsert":{"zones":[{"name":"a","closed":false}],`+
			`"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"x%d","pool":"p","patience":"1s"}]},"remove":{"lanes":["x%d"]}}`,
		operators.number,
		operators.number-1,
	)
	if traffic := operators.world.Traffic; traffic != nil {
		content = string(traffic.draftChange(operators.number).Encode())
	}
	return operators.send(host, &wire.OperatorRequest{Verb: "change", Spec: []byte(content)})
}

// send completes a change with its base, its operation and, now and then, an epoch some steps on.
func (operators *Operators) send(host *Host, ask *wire.OperatorRequest) *Order {
	random := operators.world.random
	ask.Base, ask.HasBase, ask.Operation = operators.base, true, fmt.Sprintf("o%d", operators.number)
	if random.Intn(2) == 0 {
		ask.Epoch, ask.HasEpoch = operators.base+1+uint64(random.Intn(5)), true
	}
	// Whoever carries an order marks it, and the operator's own copy must stay as it was.
	operators.last = proto.CloneOf(ask)
	operators.order = operators.world.Check.Send(host, ask)
	return operators.order
}

// resend sends the newest change once more, as an operator does who got no clear answer.
func (operators *Operators) resend(host *Host) *Order {
	if operators.last == nil {
		return nil
	}
	return operators.world.Check.Resend(host, operators.order, operators.last)
}

// retryChange has an operator send a change again and again until one is accepted or a moment has come, so
// that somebody asks for what the machines' return is checked by.
func (operators *Operators) retryChange(until time.Time) {
	world := operators.world
	var order *Order
	var ask func()
	ask = func() {
		if order != nil && order.Outcome == "accepted" || !world.Now.Before(until) {
			return
		}
		operators.base = world.Check.outcomes.greatestCommitted()
		order = operators.apply(world.pick(world.Cores()))
		world.After(time.Second, ask)
	}
	world.After(time.Second, ask)
}

// changeSteadily has one operator send a change every so often, each on what is known by then.
func (operators *Operators) changeSteadily(every time.Duration, until time.Time) {
	world := operators.world
	var next func()
	next = func() {
		if !world.Now.Before(until) {
			return
		}
		operators.base = world.Check.outcomes.greatestCommitted()
		operators.apply(world.pick(world.Cores()))
		world.After(every, next)
	}
	next()
}

// wantAcknowledged sends a change every so often, on the newest version, and wants each acknowledged within the bound
// unless another one won the race.
func (operators *Operators) wantAcknowledged(every time.Duration, until time.Time) {
	world := operators.world
	var next func()
	next = func() {
		if !world.Now.Before(until) {
			return
		}
		operators.base = world.Check.outcomes.greatestCommitted()
		order := operators.apply(world.pick(world.Cores()))
		world.After(acknowledgementBound, func() {
			took := acknowledgementBound
			if order.Outcome != "unknown" {
				took = order.Got.Sub(order.Sent)
			}
			world.Check.recordWorst("answer to a change while most daemons are gone", took)
			if order.Outcome == "unknown" {
				world.Check.violation("no-ack: %s had no answer within %v, though the core is whole", order.Operation,
					acknowledgementBound)
			}
		})
		world.After(every, next)
	}
	next()
}
