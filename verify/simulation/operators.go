package simulation

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"wardtray/control/proposal"
	"wardtray/wire"
)

// SpecText returns a small configuration, distinguished by its number.
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

// Operators send changes through control machines: complete configurations and changes of named entries, based on a
// version that they read, with epochs that increase in uneven steps, and again unchanged.
type Operators struct {
	world *World
	// number is that of the newest operation, base the version on which changes are based.
	number int
	base   uint64
	// last is the newest change, order its outcome.
	last  *wire.OperatorRequest
	order *Order
}

// newOperators returns operators that number their operations from number+1.
func newOperators(world *World, number int) *Operators {
	return &Operators{world: world, number: number}
}

// applyNewest sends a complete configuration based on the newest version, through a random control machine.
func (operators *Operators) applyNewest() *Order {
	operators.readNewest()
	return operators.apply(operators.world.pick(operators.world.Cores()))
}

// readNewest makes the newest version the base of the next changes.
func (operators *Operators) readNewest() {
	operators.base = operators.world.Check.outcomes.greatestCommitted()
}

// nextOperation returns the id of a new operation.
func (operators *Operators) nextOperation() string {
	operators.number++
	return operators.operation()
}

// operation returns the id of the current operation.
func (operators *Operators) operation() string { return fmt.Sprintf("o%d", operators.number) }

// apply sends a complete configuration.
func (operators *Operators) apply(host *Host) *Order {
	operation := operators.nextOperation()
	content := SpecText(operators.number)
	if traffic := operators.world.Traffic; traffic != nil {
		content = traffic.drafter.draft(operation, operators.number)
	}
	return operators.send(host, &wire.OperatorRequest{Verb: proposal.VerbApply, Spec: content})
}

// change sends a complete configuration or a change of named entries.
func (operators *Operators) change(host *Host) {
	[]func(host *Host) *Order{operators.apply, operators.changeEntries}[operators.world.random.Intn(2)](host)
}

// changeEntries sends a change of named entries.
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

// send sends a change with its base, its operation and, half of the time, an explicit epoch one to five above the base.
func (operators *Operators) send(host *Host, request *wire.OperatorRequest) *Order {
	random := operators.world.random
	request.Base, request.HasBase, request.Operation = operators.base, true, operators.operation()
	if random.Intn(2) == 0 {
		request.Epoch, request.HasEpoch = operators.base+1+uint64(random.Intn(5)), true
	}
	// The control machines mark a request in transit; the operator's own copy must stay unchanged.
	operators.last = proto.CloneOf(request)
	operators.order = operators.world.Check.Send(host, request)
	return operators.order
}

// resend sends the newest change again, as an operator does after an attempt whose outcome is unknown.
func (operators *Operators) resend(host *Host) *Order {
	if operators.last == nil {
		return nil
	}
	return operators.world.Check.Resend(host, operators.order, operators.last)
}
