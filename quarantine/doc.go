// Package quarantine keeps requests away from the upstreams that they crash.
//
// A request is known by a digest of what the upstream gets to see. All that
// ran on an upstream when it crashed are suspected. A suspect runs again only
// where no other suspect runs; one whose isolated run crashes a second upstream
// is quarantined, one that gets through is cleared. The suspicions stand in the
// journal, so that every instance refuses a quarantined request, whichever its
// caller turns to.
//
// State is the pure fold; Guard is the runtime beside it.
package quarantine
