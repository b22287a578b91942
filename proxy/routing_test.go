package proxy

import (
	"testing"

	"wardtray/apierror"
	"wardtray/proxy/admission"
)

func TestLookUp(t *testing.T) {
	catalog := newSnapshot(t, 1, testConfiguration).Catalog
	for name, trial := range map[string]struct {
		request admission.Request
		want    apierror.Code
	}{
		"found":               {admission.Request{Route: "once", Model: "m", Adapter: "cy"}, ""},
		"without an adapter":  {admission.Request{Route: "once", Model: "m"}, ""},
		"an unknown route":    {admission.Request{Route: "nowhere", Model: "m"}, apierror.UnknownRoute},
		"an unknown model":    {admission.Request{Route: "once", Model: "n"}, apierror.UnknownModel},
		"an unknown adapter":  {admission.Request{Route: "once", Model: "m", Adapter: "en"}, apierror.UnknownAdapter},
		"a host of no route":  {admission.Request{Target: "/v1", Authority: "x"}, apierror.UnknownRoute},
		"neither route named": {admission.Request{Model: "m"}, apierror.UnknownRoute},
	} {
		route, backend, err := lookUp(catalog, &trial.request)
		if trial.want != "" {
			if !apierror.Is(err, trial.want) {
				t.Errorf("%s: %v", name, err)
			}
			continue
		}
		if err != nil || route.Name != "once" || backend.Name != "p" || !serves(backend, &trial.request) {
			t.Errorf("%s: %v, %v, %v", name, route, backend, err)
		}
	}
}

func TestFraction(t *testing.T) {
	sum := 0.0
	const count = 10000
	for number := range count {
		drawn := fraction(string(rune('a' + number)))
		if drawn < 0 || drawn >= 1 {
			t.Fatalf("%v for %d", drawn, number)
		}
		sum += drawn
	}
	if mean := sum / count; mean < 0.48 || mean > 0.52 {
		t.Errorf("mean %v", mean)
	}
}
