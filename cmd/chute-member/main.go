// Command chute-member runs on every machine of a site on the users' platform
// and serves its callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"tamarackchute/internal/member"
	"tamarackchute/internal/telemetry"
	"tamarackchute/platform"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// memoryShare is the share of the machine's memory from which the runtime
	// collects garbage harder rather than be killed.
	memoryShare = 0.6
)

func main() {
	file := flag.String("settings", os.Getenv(platform.SettingsEnv), "settings `file` of the platform")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	if err := run(*file); err != nil {
		fmt.Fprintf(os.Stderr, "chute-member: %v\n", err)
		os.Exit(exitFailed)
	}
}

func run(file string) error {
	// The signals are taken before anything else: one that comes during the
	// start must not end the process by its default.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * memoryShare))
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := slog.New(slog.NewJSONHandler(out, nil)).With("instance", s.Instance)
	metrics := telemetry.NewMetrics("chute-member", s.Instance)
	defer func() { _ = metrics.Close() }()
	store := platform.NewStore(s.Store)
	m := member.New(member.Config{
		Settings:         s,
		Store:            store,
		Formats:          store,
		Dialect:          platform.Dialect{},
		Log:              platform.NewLog(store),
		Engines:          platform.Engines{},
		DirectoryHandler: func(m *member.Member) http.Handler { return platform.DirectoryHandler(m) },
		ReadyHandler:     platform.ReadyHandler,
		Logger:           log,
		Metrics:          metrics,
	})
	go reloads(reload, file, log)
	defer log.Info("stopped")
	return m.Run(ctx)
}

// reloads checks the settings file whenever it is said to have changed. What a
// running daemon is built on stays as it is until its next start.
func reloads(signals <-chan os.Signal, file string, log *slog.Logger) {
	for range signals {
		if _, err := platform.ReadSettings(file); err != nil {
			log.Warn("settings refused; those in force stay", "err", err)
			continue
		}
		log.Info("settings read again; they count from the next start")
	}
}
