// Package apierror defines the errors of wardtray. An Error has a Code, which clients receive as JSON, a detail that
// describes what failed, and a remedy that advises the reader what to do; it may wrap a cause. New and Wrap attach a
// stack trace (cockroachdb/errors).
//
// Callers branch on the code, by Is, Of, or errors.Is with a Code as target, and never on the text.
package apierror

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is a failure with a code. Use New or Wrap to make one.
type Error struct {
	// Code identifies the kind of failure.
	Code Code
	// Detail describes what failed, for a human reader; empty if the code is sufficient.
	Detail string
	cause  error
}

// Error returns code, detail, cause and remedy in one line.
func (err *Error) Error() string {
	text := string(err.Code)
	if err.Detail != "" {
		text += ": " + err.Detail
	}
	if err.cause != nil {
		text += ": " + err.cause.Error()
	}
	return text + " (remedy: " + err.Remedy() + ")"
}

// Unwrap returns the cause, or nil.
func (err *Error) Unwrap() error { return err.cause }

// Is reports whether the target is the error's code, for errors.Is.
func (err *Error) Is(target error) bool {
	code, isCode := target.(Code)
	return isCode && code == err.Code
}

// Remedy returns advice to the reader of the error, by its code.
func (err *Error) Remedy() string { return remedies[err.Code] }

// New returns an error with a code and a detail.
func New(code Code, format string, values ...any) error {
	return errors.WithStackDepth(&Error{Code: code, Detail: fmt.Sprintf(format, values...)}, 1)
}

// Wrap returns an error with a code and a detail that wraps a cause. For a nil cause it returns nil, so that a
// result can be wrapped without a nil check.
func Wrap(cause error, code Code, format string, values ...any) error {
	if cause == nil {
		return nil
	}
	return errors.WithStackDepth(&Error{Code: code, Detail: fmt.Sprintf(format, values...), cause: cause}, 1)
}

// Of returns the outermost Error in a chain of wrapped errors. For a chain without an Error, it returns an Internal
// error that wraps err.
func Of(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Code: Internal, cause: err}
}

// Is reports whether the outermost Error in a chain has a code, which is the code that clients receive. Unlike
// errors.Is, it ignores the causes, and treats errors without a code as Internal. A nil error has no code.
func Is(err error, code Code) bool {
	return err != nil && Of(err).Code == code
}
