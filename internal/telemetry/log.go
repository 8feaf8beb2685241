// Package telemetry sets up the observability shared by all programs: structured
// logs, and metrics with a page in the Prometheus text format.
package telemetry

import (
	"io"
	"log/slog"
	"time"

	"tamarackchute/internal/settings"
)

// logLevels maps the level names of the settings to slog levels.
var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

// NewLogger returns a logger with the format and level of the settings; the
// defaults are text and info. Each line carries the names of the program and the
// instance.
func NewLogger(w io.Writer, s settings.Logging, program, instance string) *slog.Logger {
	options := &slog.HandlerOptions{Level: logLevels[s.Level]}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if s.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("program", program, "instance", instance)
}

// Millis returns a duration in milliseconds, truncated to whole microseconds, as used
// in log lines and status pages.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
