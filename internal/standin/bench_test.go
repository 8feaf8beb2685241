package standin_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/serviceclient"
	"tamarackchute/internal/standin"
	"tamarackchute/internal/standin/standintest"
	"tamarackchute/upstream"
)

// BenchmarkService calls a plain service without latency; client and server run in this
// process.
func BenchmarkService(b *testing.B) {
	s := standintest.Service(b, standin.ServiceConfig{})
	c := serviceclient.New(s.Addr(), httpx.Options{})
	r := upstream.ServiceRequest{AttemptID: "a", Method: "POST", Path: "/check-ins", Body: []byte("crew 7")}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Call(b.Context(), r); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkStream streams a response of 50 to 100 tokens from an engine with negligible
// step times; client and server run in this process.
func BenchmarkStream(b *testing.B) {
	speed := standin.DefaultSpeed()
	speed.Scale, speed.MaxBatch, speed.KVTokens = 1e4, 256, 1e6
	e := standintest.Engine(b, standin.EngineConfig{Speed: speed})
	c := engineclient.New(e.Addr(), httpx.Options{})
	defer c.Close()
	prompt := strings.Repeat("short query about a leak ", 10)
	var ids, tokens atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			s, err := c.Generate(b.Context(), upstream.GenerateRequest{
				AttemptID: fmt.Sprint(ids.Add(1)), Model: standintest.Model, Prompt: prompt, MaxTokens: 100,
			})
			for err == nil {
				_, err = s.Next(b.Context())
				tokens.Add(1)
			}
			if !errors.Is(err, io.EOF) {
				b.Error(err)
				return
			}
			_ = s.Close()
		}
	})
	require.Positive(b, tokens.Load())
	b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
}
