package capacity

import "slices"

// Catalogue returns every experiment within this process, role by role.
func Catalogue() []Experiment {
	return slices.Concat(
		routerExperiments(),
		admissionExperiments(),
		discoveryExperiments(),
		membershipExperiments(),
		wireExperiments(),
		platformExperiments(),
		journalExperiments(),
		leaseExperiments(),
		rulesExperiments(),
		claimExperiments(),
		recordExperiments(),
		controllerExperiments(),
	)
}
