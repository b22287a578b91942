package fleet

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"wardtray/config/process"
	"wardtray/verify/histories"
	"wardtray/verify/loadtest"
)

// The rule that no refused change is in effect looks at the routes that the fleet names at the end.
func TestFinishReadsTheRoutesOfTheSpec(t *testing.T) {
	spec := loadtest.Guild.Spec([]string{"a"}, "extra-lane").Encode()
	core := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		_, _ = response.Write([]byte(`{"outcome":"found","epoch":3,"spec":` + string(spec) + `}`))
	}))
	defer core.Close()
	fleet := &Fleet{client: core.Client(), Record: histories.New()}
	address := strings.TrimPrefix(core.URL, "http://")
	if err := fleet.Finish(&Program{Settings: process.Settings{HTTP: address}}); err != nil {
		t.Fatal(err)
	}
	want := []string{"survey", "chat", "confirm", "extra-lane"}
	if final := fleet.Record.Final; final.Epoch != 3 || !slices.Equal(final.Routes, want) {
		t.Errorf("epoch %d, routes %q instead of %q", final.Epoch, final.Routes, want)
	}
}
