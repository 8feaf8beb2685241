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
	"syscall"
	"time"

	"tamarackchute/internal/member"
	"tamarackchute/internal/telemetry"
	"tamarackchute/platform"
)

const (
	exitFailed = 1
	exitUsage  = 2
	// lookEvery is how often the settings file is looked at: it may change
	// without a signal.
	lookEvery = 2 * time.Second
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
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := slog.New(slog.NewJSONHandler(out, nil)).With("instance", s.Instance)
	metrics := telemetry.NewMetrics("chute-member", s.Instance)
	defer func() { _ = metrics.Close() }()
	store := platform.NewStore(s.Store)
	m := member.New(member.Config{
		Settings:         s,
		Store:            store,
		Decoder:          store,
		Dialect:          platform.Dialect{},
		Log:              platform.NewLog(store),
		Engines:          platform.Engines{},
		DirectoryHandler: func(m *member.Member) http.Handler { return platform.DirectoryHandler(m) },
		ReadyHandler:     platform.ReadyHandler,
		Logger:           log,
		Metrics:          metrics,
	})
	go (&reloader{file: file, member: m, log: log}).run(ctx, reload)
	defer log.Info("stopped")
	return m.Run(ctx)
}

// reloader reads the settings file again after a signal or a change.
type reloader struct {
	file   string
	member *member.Member
	log    *slog.Logger
	// size and changed are the file's when it was last read.
	size    int64
	changed time.Time
	// unseen says that the file couldn't be looked at the last time.
	unseen bool
}

func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	r.looksNew()
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.looksNew()
			r.reload()
		case <-look.C:
			if r.looksNew() {
				r.reload()
			}
		}
	}
}

// looksNew reports whether the file was written since the last look. One that
// can't be looked at is told once; the settings in force stay.
func (r *reloader) looksNew() bool {
	info, err := os.Stat(r.file)
	if err != nil {
		if !r.unseen {
			r.log.Warn("settings file can't be looked at; those in force stay", "err", err)
		}
		r.unseen = true
		return false
	}
	r.unseen = false
	if info.Size() == r.size && info.ModTime().Equal(r.changed) {
		return false
	}
	r.size, r.changed = info.Size(), info.ModTime()
	return true
}

// reload takes the file's settings over. A file with a fault changes nothing.
func (r *reloader) reload() {
	next, err := platform.ReadSettings(r.file)
	if err != nil {
		r.log.Warn("settings refused; those in force stay", "err", err)
		return
	}
	applied, pending := r.member.Reload(next)
	r.log.Info("settings read again", "applied", applied, "from_next_start", pending)
}
