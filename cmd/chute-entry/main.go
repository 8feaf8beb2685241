// Command chute-entry runs on every entry instance and serves callers.
package main

import (
	"time"

	"github.com/google/uuid"

	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/entry"
	"tamarackchute/internal/program"
)

const (
	// callTimeout bounds a call to an upstream; a request's own deadline is usually
	// earlier.
	callTimeout = 10 * time.Minute
	// maxResponse bounds the response of a plain service, in bytes.
	maxResponse = 8 << 20
	// maxHeldControls bounds what control responses of upstreams hold together, maxHeldPlatform what those of
	// the platform do, in bytes. One read of the log may have half of the latter.
	maxHeldControls = 32 << 20
	maxHeldPlatform = 64 << 20
	// platformTimeout bounds a call to a service of the platform.
	platformTimeout = 5 * time.Second
)

func main() {
	uuid.EnableRandPool() // faster, as each request and attempt needs an id
	program.Main("chute-entry", build)
}

func build(env program.Env) (program.Daemon, error) {
	d := env.Deployment
	sender := env.Instance + "/entry"
	toPlatform := httpx.Options{TLS: env.ClientTLS, Timeout: platformTimeout, Bodies: bodylimit.New(maxHeldPlatform), Sender: sender}
	toUpstreams := httpx.Options{TLS: env.ClientTLS, Timeout: callTimeout, MaxBody: maxResponse, Bodies: bodylimit.New(maxHeldControls), Sender: sender}
	return entry.New(entry.Config{
		Deployment: d,
		Instance:   env.Instance,
		Secret:     env.Secret,
		Log:        logclient.New(d.Platform.Log, toPlatform),
		List:       listclient.New(d.Platform.Instances, toPlatform),
		Upstreams:  entry.NewUpstreams(d, toUpstreams),
		ServerTLS:  env.ServerTLS,
		ClientTLS:  env.ClientTLS,
		Metrics:    env.Metrics,
		Logger:     env.Logger,
	})
}
