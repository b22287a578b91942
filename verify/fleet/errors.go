package fleet

import (
	"errors"
	"fmt"

	"wardtray/verify/histories"
)

var (
	// ErrTimeout is returned if a condition does not hold within its timeout.
	ErrTimeout = errors.New("timed out")
	// ErrRunning is returned by Process.Start if the process is already running.
	ErrRunning = errors.New("the process is already running")
)

// StatusError is a control machine's response to a read with a status other than 200.
type StatusError struct {
	Path   string
	Status int
}

// Error returns the request's path and the response's status.
func (err *StatusError) Error() string { return fmt.Sprintf("%s: status %d", err.Path, err.Status) }

// NotAcceptedError reports that a configuration change which a scenario depends on was not accepted.
type NotAcceptedError struct {
	Order *histories.OperatorRequest
}

// Error returns the change's operation ID, status, outcome and epochs.
func (err *NotAcceptedError) Error() string {
	request := err.Order
	return fmt.Sprintf("the change %q was not accepted: status %d, outcome %q, epoch %d, on epoch %d",
		request.Operation, request.HTTPStatus, request.Outcome, request.Epoch, request.Base)
}
