package state_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the random histories, so every run tests the
// same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
