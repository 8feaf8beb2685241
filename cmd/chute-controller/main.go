// Command chute-controller runs on every entry instance. In each data centre one of them
// leads the engines at a time and is the only process that sends them orders.
package main

import (
	"time"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/adapters/weightclient"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/controller"
	"tamarackchute/internal/program"
	"tamarackchute/internal/settings"
)

// controlConns limits the connections to one engine or platform service.
const controlConns = 16

// maxHeldBytes bounds what responses of engines and of the platform hold together. One read of the log may have
// half of it.
const maxHeldBytes = 64 << 20

// callTimeout bounds a call whose caller sets no earlier deadline.
const callTimeout = 5 * time.Second

func main() { program.Main("chute-controller", build) }

func build(env program.Env) (program.Daemon, error) {
	d := env.Deployment
	o := httpx.Options{
		TLS: env.ClientTLS, Timeout: callTimeout, MaxConns: controlConns, Bodies: bodylimit.New(maxHeldBytes),
		Sender: env.Instance + "/controller",
	}
	return controller.New(controller.Config{
		Deployment: d, Instance: env.Instance, Secret: env.Secret,
		Log:     logclient.New(d.Platform.Log, o),
		List:    listclient.New(d.Platform.Instances, o),
		Weights: weightclient.New(d.Platform.Weights, o),
		Engines: engines(d, o), ServerTLS: env.ServerTLS, ClientTLS: env.ClientTLS,
		Metrics: env.Metrics, Logger: env.Logger,
	})
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
