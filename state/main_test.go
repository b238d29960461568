package state_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random histories, so that every run tests the
// same ones.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
