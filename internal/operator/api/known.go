package api

import (
	"slices"

	"tamarackchute/internal/settings"
	"tamarackchute/rules"
)

// KnownNames lists the names of a deployment that its rules may refer to.
func KnownNames(d *settings.Deployment) rules.KnownNames {
	names := rules.KnownNames{Pools: []string{}, Models: []string{}, DataCentres: []string{}}
	for _, u := range d.Upstreams {
		names.Pools = appendNew(names.Pools, u.Pool)
		for _, model := range u.Models {
			names.Models = appendNew(names.Models, model)
		}
	}
	for _, dc := range d.DataCentres {
		names.DataCentres = appendNew(names.DataCentres, dc.Name)
	}
	return names
}

func appendNew(list []string, value string) []string {
	if slices.Contains(list, value) {
		return list
	}
	return append(list, value)
}
