// Package standintest runs stand-ins in tests.
package standintest

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/standin"
)

// Serve runs a component until the test ends.
func Serve(t testing.TB, p standin.Component) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { _ = p.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// Log runs a log on a loopback address.
func Log(t testing.TB, c standin.LogConfig) *standin.Log {
	t.Helper()
	c.Addr = loopback
	l, err := standin.NewLog(c)
	require.NoError(t, err)
	Serve(t, l)
	return l
}

// Engine runs an engine; name, models and speed have defaults.
func Engine(t testing.TB, c standin.EngineConfig) *standin.Engine {
	t.Helper()
	c.Addr = loopback
	if c.Name == "" {
		c.Name = "engine"
	}
	if c.Models == nil {
		c.Models = []string{Model}
	}
	if c.Speed.Scale == 0 {
		c.Speed = standin.DefaultSpeed()
		c.Speed.Scale = testScale
	}
	e, err := standin.NewEngine(c)
	require.NoError(t, err)
	Serve(t, e)
	return e
}

// Service runs a plain service.
func Service(t testing.TB, c standin.ServiceConfig) *standin.Service {
	t.Helper()
	c.Addr = loopback
	if c.Name == "" {
		c.Name = "service"
	}
	s, err := standin.NewService(c)
	require.NoError(t, err)
	Serve(t, s)
	return s
}

// SetFaults sets faults of a component.
func SetFaults(t testing.TB, p standin.Component, doc string) {
	t.Helper()
	require.NoError(t, p.SetFaults([]byte(doc)))
}

// Model is the default model of engines.
const Model = "m"

const (
	loopback = "127.0.0.1:0"
	// testScale makes engines fast enough for tests.
	testScale = 20
)
