package model

import (
	"testing"
	"time"
)

func TestScenarios(t *testing.T) {
	for _, scenario := range Scenarios {
		t.Run(scenario.Name, func(t *testing.T) {
			begun := time.Now()
			result, err := Explore(scenario, Options{States: scenario.States, Depth: scenario.Depth, Seed: 1})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%s: %v (%v)", scenario.Name, result, time.Since(begun))
			if result.Broken != "" {
				for _, action := range result.Trace {
					t.Log(action)
				}
				t.Errorf("BROKEN %s", result.Broken)
			}
		})
	}
}
