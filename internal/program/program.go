// Package program is the common entry point of an instance's daemons. It handles
// flags, settings, logs, metrics, secrets and signals.
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
	exitFailure = 1
	exitUsage   = 2
)

// Env is the environment that Main passes to a daemon.
type Env struct {
	Deployment *settings.Deployment
	// Instance names the instance that this process runs on.
	Instance string
	// Secret is the peer secret, shared by the system's processes.
	Secret []byte
	// ServerTLS and ClientTLS are nil if TLS is off.
	ServerTLS, ClientTLS *tls.Config
	Metrics              *telemetry.Metrics
	Logger               *slog.Logger
}

// Daemon is a long-running process.
type Daemon interface {
	// Run runs until the context is cancelled and returns once the daemon has stopped.
	Run(ctx context.Context) error
}

// Main runs a daemon until SIGTERM or an interrupt. It returns after a graceful stop,
// and exits with 1 after an error and 2 if the command line is invalid.
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
		os.Exit(exitFailure)
	}
}

func run(name, file, instance string, build func(Env) (Daemon, error)) error {
	env, err := loadEnv(file, instance)
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

// loadEnv reads the settings and the files that they refer to.
func loadEnv(file, instance string) (Env, error) {
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
