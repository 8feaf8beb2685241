// Command chute-controller runs on every entry instance. One of a data centre's
// leads its engines at a time and is the only program that sends them orders.
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

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/adapters/weightclient"
	"tamarackchute/internal/controller"
	"tamarackchute/internal/settings"
	"tamarackchute/internal/telemetry"
)

const program = "chute-controller"

// controlConns bounds the connections to one engine or platform service.
const controlConns = 16

// callTimeout bounds a call whose caller sets no earlier deadline.
const callTimeout = 5 * time.Second

func main() {
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
	c, err := controller.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	log.Info("starting")
	defer log.Info("stopped")
	return c.Run(ctx)
}

func config(d *settings.Deployment, instance string, log *slog.Logger, m *telemetry.Metrics) (controller.Config, error) {
	secret, err := d.Security.PeerSecret()
	if err != nil {
		return controller.Config{}, err
	}
	server, err := d.Security.ServerTLS()
	if err != nil {
		return controller.Config{}, err
	}
	client, err := d.Security.ClientTLS()
	if err != nil {
		return controller.Config{}, err
	}
	o := httpx.Options{
		TLS: client, Timeout: callTimeout, MaxConns: controlConns, Sender: instance + "/controller",
	}
	return controller.Config{
		Deployment: d, Instance: instance, Secret: secret,
		Log:     logclient.New(d.Platform.Log, o),
		List:    listclient.New(d.Platform.Instances, o),
		Weights: weightclient.New(d.Platform.Weights, o),
		Engines: engines(d, o), ServerTLS: server, ClientTLS: client,
		Metrics: m, Logger: log,
	}, nil
}

func engines(d *settings.Deployment, o httpx.Options) map[string]controller.Engine {
	all := map[string]controller.Engine{}
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			all[u.Name] = engineclient.New(u.Address, o)
		}
	}
	return all
}
