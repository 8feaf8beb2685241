// Package telemetry sets up what every program of the system shares for being
// watched: structured logs, and metrics with a text page.
package telemetry

import (
	"io"
	"log/slog"
	"time"

	"tamarackchute/internal/settings"
)

// logLevels maps the names that the settings allow to slog's levels.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// NewLogger returns a logger in the form and at the level of the settings:
// text and info where they say nothing. Each line carries the program's and
// the instance's name.
func NewLogger(w io.Writer, s settings.Logging, program, instance string) *slog.Logger {
	options := &slog.HandlerOptions{Level: logLevels[s.Level]}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if s.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("program", program, "instance", instance)
}

// Millis returns a duration in milliseconds, as log lines and status pages tell it:
// whole microseconds.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
