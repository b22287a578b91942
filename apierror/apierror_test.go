package apierror

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

func TestErrorNamesCodeDetailCauseAndRemedy(t *testing.T) {
	err := Wrap(io.ErrUnexpectedEOF, DiskFailed, "reading %s", "log")
	want := "disk_failed: reading log: unexpected EOF (remedy: " + remedies[DiskFailed] + ")"
	if err.Error() != want {
		t.Errorf("%q instead of %q", err.Error(), want)
	}
	if want := "busy (remedy: " + remedies[Busy] + ")"; New(Busy, "").Error() != want {
		t.Errorf("%q instead of %q", New(Busy, "").Error(), want)
	}
}

func TestWrapOfNil(t *testing.T) {
	if err := Wrap(nil, Internal, "detail"); err != nil {
		t.Error(err)
	}
}

func TestOfAndIsLookAtTheOutermostError(t *testing.T) {
	inner := New(Unreachable, "inner")
	outer := fmt.Errorf("context: %w", Wrap(inner, InvalidSettings, "outer"))
	for name, test := range map[string]struct {
		err    error
		code   Code
		detail string
	}{
		"new":          {inner, Unreachable, "inner"},
		"wrapped":      {outer, InvalidSettings, "outer"},
		"without code": {io.EOF, Internal, ""},
	} {
		if found := Of(test.err); found.Code != test.code || found.Detail != test.detail {
			t.Errorf("%s: found %s, %q", name, found.Code, found.Detail)
		}
		if !Is(test.err, test.code) {
			t.Errorf("%s: is not %s", name, test.code)
		}
	}
	if Is(outer, Unreachable) || Is(nil, Internal) {
		t.Error("Is reports the code of a cause, or a code for a nil error")
	}
}

func TestStandardIsAndAsLookAtEveryError(t *testing.T) {
	err := fmt.Errorf("context: %w", Wrap(New(Unreachable, "inner"), InvalidSettings, "outer"))
	if !errors.Is(err, InvalidSettings) || !errors.Is(err, Unreachable) || errors.Is(err, Busy) {
		t.Error("errors.Is misses a code of the chain, or reports one that is not in it")
	}
	if cause := Wrap(io.EOF, DiskFailed, ""); !errors.Is(cause, io.EOF) {
		t.Error("errors.Is does not find the cause")
	}
	var found *Error
	if !errors.As(err, &found) || found.Code != InvalidSettings {
		t.Errorf("errors.As finds %v", found)
	}
}
