package dev_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"bamboofork/internal/dev"
)

// Guards against a step of the demonstration that fails.
func TestDemo(t *testing.T) {
	p, err := dev.Workshop()
	qt.Assert(t, err, qt.IsNil)
	fleet, err := dev.Start(p, zerolog.Nop())
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	qt.Assert(t, fleet.WaitReady(ctx), qt.IsNil)
	var out bytes.Buffer
	err = dev.NewDemo(fleet, &out).Run(ctx)
	qt.Check(t, err, qt.IsNil, qt.Commentf("%s", out.String()))
	qt.Check(t, fleet.Stop(), qt.IsNil)
}
