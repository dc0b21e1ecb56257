package main

import (
	"os"
	"testing"
	"time"
)

// TestDefaultTrialViolatesNoGuarantee runs the README's first command, a trial
// without arguments, for a short time. No booking may run twice, get lost or
// run after it was reported as not run, and no cold engine may be overloaded.
func TestDefaultTrialViolatesNoGuarantee(t *testing.T) {
	if err := os.Chdir(".."); err != nil {
		t.Fatal(err)
	}
	r, err := runCmd{Duration: 2 * time.Second, Load: 0.2, Policy: foxtaillugPolicy, Seed: 1}.runTrial()
	if err != nil {
		t.Fatal(err)
	}
	if r.BookingsDoubled+r.BookingsLost+r.BookingsRefusedButRun+r.EngineOverloads != 0 {
		t.Errorf("guarantees violated: %+v", r)
	}
	issued := 0
	for _, x := range r.Tiers {
		issued += x.Issued
	}
	if issued == 0 {
		t.Error("no request was sent, so the trial tested nothing")
	}
}
