package api

import (
	"slices"

	"tamarackchute/internal/settings"
	"tamarackchute/rules"
)

// KnownNames lists the names of a deployment that its rules may refer to.
func KnownNames(d *settings.Deployment) rules.KnownNames {
	known := rules.KnownNames{Pools: []string{}, Models: []string{}, DataCentres: []string{}}
	for _, u := range d.Upstreams {
		known.Pools = appendNew(known.Pools, u.Pool)
		for _, model := range u.Models {
			known.Models = appendNew(known.Models, model)
		}
	}
	for _, dc := range d.DataCentres {
		known.DataCentres = appendNew(known.DataCentres, dc.Name)
	}
	return known
}

func appendNew(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}
