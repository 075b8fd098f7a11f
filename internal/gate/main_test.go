package gate_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of randomised runs unless -rapid.seed names another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1") //nolint:errcheck // a number is accepted
	}
	os.Exit(m.Run())
}
