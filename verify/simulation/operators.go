package simulation

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wardtray/control/proposal"
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

// Operators send changes through cores: whole specs and named entries, built on a version that they read, with epochs
// that climb in uneven steps, and again unchanged.
type Operators struct {
	world *World
	// number is that of the newest operation, base the version on which changes are built.
	number int
	base   uint64
	// last is the newest change, order what became of it.
	last  *wire.OperatorRequest
	order *Order
}

// newOperators returns operators that number their operations from one above a number.
func newOperators(world *World, number int) *Operators {
	return &Operators{world: world, number: number}
}

// applyNewest sends a whole spec that is built on the newest version, through any core.
func (operators *Operators) applyNewest() *Order {
	operators.readNewest()
	return operators.apply(operators.world.pick(operators.world.Cores()))
}

// readNewest has the next changes be built on the newest version.
func (operators *Operators) readNewest() {
	operators.base = operators.world.Check.outcomes.greatestCommitted()
}

// nextOperation returns the name of the operator's next operation.
func (operators *Operators) nextOperation() string {
	operators.number++
	return operators.operation()
}

// operation returns the name of the operator's present operation.
func (operators *Operators) operation() string { return fmt.Sprintf("o%d", operators.number) }

// apply sends a whole spec.
func (operators *Operators) apply(host *Host) *Order {
	operation := operators.nextOperation()
	content := SpecText(operators.number)
	if traffic := operators.world.Traffic; traffic != nil {
		content = traffic.drafter.draft(operation, operators.number)
	}
	return operators.send(host, &wire.OperatorRequest{Verb: proposal.VerbApply, Spec: content})
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
		content = string(traffic.drafter.draftChange(operators.number).Encode())
	}
	return operators.send(host, &wire.OperatorRequest{Verb: proposal.VerbChange, Spec: []byte(content)})
}

// send completes a change with its base, its operation and, now and then, an epoch some steps on.
func (operators *Operators) send(host *Host, ask *wire.OperatorRequest) *Order {
	random := operators.world.random
	ask.Base, ask.HasBase, ask.Operation = operators.base, true, operators.operation()
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
