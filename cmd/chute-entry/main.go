// Command chute-entry runs on every entry instance and serves callers.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/entry"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/telemetry"
)

const program = "chute-entry"

const (
	// callTimeout bounds a call to an upstream whose request has no earlier
	// deadline.
	callTimeout = 10 * time.Minute
	// maxAnswer bounds the answer of a plain service, in bytes.
	maxAnswer = 8 << 20
	// platformTimeout bounds a call to a service of the platform.
	platformTimeout = 5 * time.Second
)

func main() {
	uuid.EnableRandPool() // ids are made for each request and attempt
	file := flag.String("settings", "", "settings file of the deployment")
	instance := flag.String("instance", "", "name of the instance that this runs on")
	flag.Parse()
	if *file == "" || *instance == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(*file, *instance); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

func run(file, instance string) error {
	d, err := settings.Load(file)
	if err != nil {
		return err
	}
	log := telemetry.NewLogger(os.Stderr, d.Log, program, instance)
	slog.SetDefault(log)
	metrics := telemetry.NewMetrics(program, instance)
	defer func() { _ = metrics.Close() }()
	cfg, err := config(d, instance, log, metrics)
	if err != nil {
		return err
	}
	e, err := entry.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log.Info("starting")
	defer log.Info("stopped")
	return e.Run(ctx)
}

func config(d *settings.Deployment, instance string, log *slog.Logger, m *telemetry.Metrics) (entry.Config, error) {
	secret, err := d.Security.PeerSecret()
	if err != nil {
		return entry.Config{}, err
	}
	server, err := d.Security.ServerTLS()
	if err != nil {
		return entry.Config{}, err
	}
	client, err := d.Security.ClientTLS()
	if err != nil {
		return entry.Config{}, err
	}
	sender := instance + "/entry"
	toPlatform := httpx.Options{TLS: client, Timeout: platformTimeout, Sender: sender}
	toUpstreams := httpx.Options{TLS: client, Timeout: callTimeout, MaxBody: maxAnswer, Sender: sender}
	return entry.Config{
		Deployment: d,
		Instance:   instance,
		Secret:     secret,
		Log:        logclient.New(d.Platform.Log, toPlatform),
		List:       listclient.New(d.Platform.Instances, toPlatform),
		Upstreams:  entry.NewUpstreams(d, toUpstreams),
		ServerTLS:  server,
		ClientTLS:  client,
		Metrics:    m,
		Logger:     log,
	}, nil
}
