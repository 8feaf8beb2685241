// Package program starts the daemons of an instance in the same way: flags,
// settings, log, metrics, secrets and signals.
package program

import (
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"tamarackchute/internal/settings"
	"tamarackchute/internal/telemetry"
)

// The exit codes of a daemon.
const (
	exitFailed = 1
	exitUsage  = 2
)

// Env is what every daemon starts with.
type Env struct {
	Deployment *settings.Deployment
	// Instance names the instance that this process runs on.
	Instance string
	// Secret is what the system's processes share.
	Secret []byte
	// ServerTLS and ClientTLS are nil where the settings have no TLS.
	ServerTLS, ClientTLS *tls.Config
	Metrics              *telemetry.Metrics
	Logger               *slog.Logger
}

// Daemon works until its context ends, and returns once it has stopped.
type Daemon interface {
	Run(ctx context.Context) error
}

// Main runs a daemon until SIGTERM or an interrupt and ends the process: with 0
// after a graceful stop, 1 after an error, 2 if the command line is wrong.
func Main(name string, build func(Env) (Daemon, error)) {
	file := flag.String("settings", "", "settings `file` of the deployment")
	instance := flag.String("instance", "", "`name` of the instance that this runs on")
	flag.Parse()
	if *file == "" || *instance == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	if err := run(name, *file, *instance, build); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(exitFailed)
	}
}

func run(name, file, instance string, build func(Env) (Daemon, error)) error {
	env, err := load(file, instance)
	if err != nil {
		return err
	}
	env.Logger = telemetry.NewLogger(os.Stderr, env.Deployment.Log, name, instance)
	slog.SetDefault(env.Logger)
	env.Metrics = telemetry.NewMetrics(name, instance)
	defer func() { _ = env.Metrics.Close() }()
	d, err := build(env)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	env.Logger.Info("starting")
	defer env.Logger.Info("stopped")
	return d.Run(ctx)
}

// load reads the settings and the files that they name.
func load(file, instance string) (Env, error) {
	env := Env{Instance: instance}
	var err error
	if env.Deployment, err = settings.Load(file); err != nil {
		return env, err
	}
	if env.Secret, err = env.Deployment.Security.PeerSecret(); err != nil {
		return env, err
	}
	if env.ServerTLS, err = env.Deployment.Security.ServerTLS(); err != nil {
		return env, err
	}
	env.ClientTLS, err = env.Deployment.Security.ClientTLS()
	return env, err
}
