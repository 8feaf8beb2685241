package capacity

import (
	"fmt"

	"tamarackchute/internal/settings"
)

// FleetSize is the size of a made-up deployment.
type FleetSize struct {
	DataCentres, Instances, Engines, Services, Models int
	// Network is the first two bytes of the loopback addresses, as "127.60".
	Network string
}

const (
	// oneWayMillis is the latency between two data centres of a made-up fleet.
	oneWayMillis = 1.5
	enginePool   = "engines"
	servicePool  = "services"
	callersPort  = 8080
	upstreamPort = 9000
	platformPort = 7000
	// upstreamNet is the third byte of the first upstreams' addresses; the
	// instances' is the number of the data centre, the platform's 0.
	upstreamNet = 100
	hostsPerNet = 250
)

// Fleet returns a deployment of that size, in which instances and upstreams are
// dealt out to the data centres in turn. The other settings are those of the
// sample deployments.
func Fleet(s FleetSize) *settings.Deployment {
	d := &settings.Deployment{
		Name:      "fleet",
		Links:     []settings.Link{},
		Discovery: settings.Discovery{KeepSeconds: 5, GraceSeconds: 60},
		Lease:     settings.Lease{TermSeconds: 3, RenewSeconds: 1, DriftFraction: 0.01},
		Protected: settings.Protected{
			CommitMillis: 4, ClaimTimeoutMillis: 2000, RememberSeconds: 1800, MaxRecordedBytes: 4096,
		},
		Admission: settings.Admission{MaxQueued: 4096, MaxBodyBytes: 1 << 20, ShortReserve: 0.2, RetryBudget: 0.1},
		Roles: settings.Roles{
			Policy: "gain", ChangeWeight: 1, DwellSeconds: 20, ChangeSeconds: 4, MaxAtOnce: 1, MaxPictureAgeSeconds: 10,
			Schedule: []settings.RoleStep{},
		},
		Security: settings.Security{PeerSecretFile: "peer.secret", Operators: []settings.Operator{}},
		Log:      settings.Logging{Level: "warn"},
	}
	for i := range s.DataCentres {
		d.DataCentres = append(d.DataCentres, settings.DataCentre{Name: dataCentre(i)})
		for j := range i {
			d.Links = append(d.Links, settings.Link{From: dataCentre(j), To: dataCentre(i), OneWayMillis: oneWayMillis})
		}
	}
	for i := range s.Instances {
		d.Instances = append(d.Instances, s.instance(i))
	}
	for i := range s.Engines {
		d.Upstreams = append(d.Upstreams, s.engine(i))
	}
	for i := range s.Services {
		d.Upstreams = append(d.Upstreams, s.service(i))
	}
	d.Platform = s.platform()
	return d
}

func dataCentre(i int) string { return fmt.Sprintf("data-centre-%d", i) }

func (s FleetSize) address(n, host, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", s.Network, n+host/hostsPerNet, 1+host%hostsPerNet, port)
}

func (s FleetSize) instance(i int) settings.Instance {
	at := i % s.DataCentres
	host := i / s.DataCentres
	return settings.Instance{
		Name:                fmt.Sprintf("entry-%s-%d", dataCentre(at), host),
		DataCentre:          dataCentre(at),
		Callers:             s.address(at+1, host, callersPort),
		Operators:           s.address(at+1, host, callersPort+1),
		Peers:               s.address(at+1, host, callersPort+2),
		ControllerOperators: s.address(at+1, host, callersPort+3),
		ControllerPeers:     s.address(at+1, host, callersPort+4),
	}
}

// roles are dealt out in turn to the engines of each model.
var roles = []string{"mixed", "prefill", "decode"}

func model(i int) string { return fmt.Sprintf("model-%d", i) }

func (s FleetSize) engine(i int) settings.Upstream {
	at := i % s.DataCentres
	return settings.Upstream{
		Name:       fmt.Sprintf("engine-%s-%d", dataCentre(at), i/s.DataCentres),
		Kind:       settings.KindEngine,
		DataCentre: dataCentre(at),
		Address:    s.address(upstreamNet, i, upstreamPort),
		Pool:       enginePool,
		Models:     []string{model(i % s.Models)},
		Fencing:    settings.FencingChecked,
		Role:       roles[i/s.Models%len(roles)],
	}
}

func (s FleetSize) service(i int) settings.Upstream {
	return settings.Upstream{
		Name:       fmt.Sprintf("service-%d", i),
		Kind:       settings.KindService,
		DataCentre: dataCentre(i % s.DataCentres),
		Address:    s.address(upstreamNet, s.Engines+i, upstreamPort),
		Pool:       servicePool,
		Models:     []string{},
	}
}

func (s FleetSize) platform() settings.Platform {
	return settings.Platform{
		Log:                  s.address(0, 0, platformPort),
		Instances:            s.address(0, 0, platformPort+1),
		Weights:              s.address(0, 0, platformPort+2),
		AppendsPerSecond:     300,
		RetentionSeconds:     3600,
		WeightBytesPerSecond: 200e6,
	}
}

// targetSize is the deployment that the users ask for, as far as settings tell.
var targetSize = FleetSize{DataCentres: 10, Instances: 1700, Engines: 6900, Models: 6, Network: "127.60"}
