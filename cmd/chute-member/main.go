// Command chute-member is the daemon of a site on the users' platform. It runs on every machine
// of the site and serves its callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"tamarackchute/internal/exchange"
	"tamarackchute/internal/member"
	"tamarackchute/internal/telemetry"
	"tamarackchute/platform"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// settingsPollInterval is how often the settings file is checked: it may change without a
	// signal.
	settingsPollInterval = 2 * time.Second
)

func main() {
	file := flag.String("settings", os.Getenv(platform.SettingsEnv), "settings `file` of the platform")
	source := flag.String("source", "", "local `IP` address of connections to upstreams; by default the system chooses")
	flag.Parse()
	if *file == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	if err := run(*file, *source); err != nil {
		fmt.Fprintf(os.Stderr, "chute-member: %v\n", err)
		os.Exit(exitFailed)
	}
}

func run(file, source string) error {
	// Handle signals before anything else: during startup their default action would end the
	// process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	dial, err := exchange.DialFrom(source)
	if err != nil {
		return err
	}
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := slog.New(slog.NewJSONHandler(out, nil)).With("instance", s.Instance)
	metrics := telemetry.NewMetrics("chute-member", s.Instance)
	defer func() { _ = metrics.Close() }()
	store := platform.NewStore(s.Store)
	var provider member.Provider
	if s.Provider.Address != "" {
		provider = platform.NewCloud(s.Provider.Address)
	}
	m := member.New(member.Config{
		Provider:         provider,
		Dial:             dial,
		Settings:         s,
		Store:            store,
		Decoder:          store,
		Dialect:          platform.Dialect{},
		Log:              platform.NewLog(store),
		QuarantineLog:    platform.NewQuarantineLog(store),
		Engines:          platform.NewEngines,
		DirectoryHandler: func(m *member.Member) http.Handler { return platform.DirectoryHandler(m) },
		ReadyHandler:     platform.ReadyHandler,
		Logger:           log,
		Metrics:          metrics,
	})
	go (&reloader{file: file, member: m, log: log}).run(ctx, reload)
	defer log.Info("stopped")
	return m.Run(ctx)
}

// reloader reloads the settings file after a signal or a change.
type reloader struct {
	file   string
	member *member.Member
	log    *slog.Logger
	// size and modified are those of the file when it was last read.
	size     int64
	modified time.Time
	// inaccessible is set if the last check of the file failed.
	inaccessible bool
}

func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	r.fileChanged()
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.fileChanged()
			r.reload()
		case <-poll.C:
			if r.fileChanged() {
				r.reload()
			}
		}
	}
}

// fileChanged reports whether the file has changed since the last check. A file that isn't
// accessible is logged once; the current settings stay.
func (r *reloader) fileChanged() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		if !r.inaccessible {
			r.log.Warn("settings file not accessible; keeping the current settings", "err", err)
		}
		r.inaccessible = true
		return false
	}
	r.inaccessible = false
	if info.Size() == r.size && info.ModTime().Equal(r.modified) {
		return false
	}
	r.size, r.modified = info.Size(), info.ModTime()
	return true
}

// reload applies the settings file. An invalid file changes nothing.
func (r *reloader) reload() {
	next, err := platform.ReadSettings(r.file)
	if err != nil {
		r.log.Warn("invalid settings; keeping the current ones", "err", err)
		return
	}
	applied, pending := r.member.Reload(next)
	r.log.Info("settings reloaded", "applied", applied, "from_next_start", pending)
}
