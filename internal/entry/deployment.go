package entry

import (
	"slices"
	"time"

	"tamarackchute/infra"
	"tamarackchute/internal/settings"
	"tamarackchute/router"
	"tamarackchute/upstream"
)

func routerConfig(d *settings.Deployment, dataCentre string) router.Config {
	c := router.DefaultConfig(dataCentre)
	for _, l := range d.Links {
		c.Links = append(c.Links, router.Link{
			From:   l.From,
			To:     l.To,
			OneWay: time.Duration(l.OneWayMillis * float64(time.Millisecond)),
		})
	}
	switch d.Routing.Picker {
	case "round_robin":
		c.Pipeline = router.Baseline(&router.RoundRobin{})
	case "least_outstanding":
		c.Pipeline = router.Baseline(router.LeastOutstanding{})
	}
	return c
}

func routerUpstreams(d *settings.Deployment) []router.Upstream {
	all := make([]router.Upstream, 0, len(d.Upstreams))
	for _, u := range d.Upstreams {
		one := router.Upstream{
			Name:       u.Name,
			Kind:       infra.KindService,
			Pool:       u.Pool,
			DataCentre: u.DataCentre,
		}
		if u.Kind == settings.KindEngine {
			one.Kind = infra.KindEngine
			one.Models = u.Models
			one.Role = upstream.Role(u.Role)
		}
		all = append(all, one)
	}
	return all
}

// instanceNames returns the names of all entries.
func instanceNames(d *settings.Deployment) []string {
	names := make([]string, 0, len(d.Instances))
	for _, in := range d.Instances {
		names = append(names, in.Name)
	}
	return names
}

func engineNames(d *settings.Deployment) []string {
	var names []string
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindEngine {
			names = append(names, u.Name)
		}
	}
	return names
}

// poolModel identifies a set of engines that can serve the same requests.
type poolModel struct{ pool, model string }

func poolModels(d *settings.Deployment) []poolModel {
	var all []poolModel
	for _, u := range d.Upstreams {
		for _, m := range u.Models {
			if pm := (poolModel{u.Pool, m}); !slices.Contains(all, pm) {
				all = append(all, pm)
			}
		}
	}
	return all
}

func modelNames(d *settings.Deployment) []string {
	var names []string
	for _, pm := range poolModels(d) {
		if !slices.Contains(names, pm.model) {
			names = append(names, pm.model)
		}
	}
	slices.Sort(names)
	return names
}

func servicePools(d *settings.Deployment) map[string]bool {
	pools := map[string]bool{}
	for _, u := range d.Upstreams {
		if u.Kind == settings.KindService {
			pools[u.Pool] = true
		}
	}
	return pools
}
