package fleet

import (
	"errors"
	"fmt"

	"wardtray/verify/histories"
)

var (
	// ErrTimeout means that a condition did not hold in time.
	ErrTimeout = errors.New("timed out")
	// ErrRunning means that a process was to be started that runs already.
	ErrRunning = errors.New("the process runs already")
)

// StatusError is a response of a core that says that it did not do what it was asked to.
type StatusError struct {
	Path   string
	Status int
}

// Error returns path and status.
func (err *StatusError) Error() string { return fmt.Sprintf("%s: status %d", err.Path, err.Status) }

// NotAcceptedError is a change that a scenario relies on and that was not accepted.
type NotAcceptedError struct {
	Order *histories.Order
}

// Error returns what became of the change.
func (err *NotAcceptedError) Error() string {
	order := err.Order
	return fmt.Sprintf("the change %q was not accepted: status %d, outcome %q, epoch %d, on epoch %d",
		order.Operation, order.HTTPStatus, order.Outcome, order.Epoch, order.Base)
}
