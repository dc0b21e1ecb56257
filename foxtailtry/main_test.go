package main

import (
	"os"
	"testing"
	"time"
)

// TestTrialWithoutArguments runs what the README's first command runs, for a
// short time.
func TestTrialWithoutArguments(t *testing.T) {
	if err := os.Chdir(".."); err != nil {
		t.Fatal(err)
	}
	r, err := runCmd{Duration: 2 * time.Second, Load: 0.2, Policy: ownPolicy, Seed: 1}.trial()
	if err != nil {
		t.Fatal(err)
	}
	if r.BookingsDoubled+r.BookingsLost+r.BookingsUntrue+r.EngineOverloads != 0 {
		t.Errorf("broken promises: %+v", r)
	}
	issued := 0
	for _, x := range r.Tiers {
		issued += x.Issued
	}
	if issued == 0 {
		t.Error("nothing was issued, so nothing was tested")
	}
}
