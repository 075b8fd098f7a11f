package gate_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised tests unless -rapid.seed sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1") //nolint:errcheck // a number is always accepted
	}
	os.Exit(m.Run())
}
