// Package standintest starts stand-ins within a test.
package standintest

import (
	"context"
	"testing"

	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"tamarackchute/internal/standin"
)

// Serve runs a part until the test ends.
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

// Log runs a log with room for a test's appends.
func Log(t testing.TB, c standin.LogConfig) *standin.Log {
	t.Helper()
	c.Addr = loopback
	l, err := standin.NewLog(c)
	require.NoError(t, err)
	Serve(t, l)
	return l
}

// Engine runs an engine; without a name, models or speed it takes defaults.
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

// Faults switches faults of a part.
func SetFaults(t testing.TB, p standin.Component, doc string) {
	t.Helper()
	require.NoError(t, p.SetFaults([]byte(doc)))
}

// Model is the model of engines that name none.
const Model = "m"

const (
	loopback = "127.0.0.1:0"
	// fast makes engines quick enough for tests.
	testScale = 20
)
