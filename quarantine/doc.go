// Package quarantine detects requests that crash upstreams and refuses to run
// them.
//
// A request is identified by a digest of what is sent to the upstream. All
// requests that ran on an upstream when it crashed are suspects. A suspect runs
// again only where no other suspect runs: if its isolated run crashes a second
// upstream, it is quarantined; if it completes, it is cleared. The journal
// replicates suspects and quarantines to all instances, so that every instance
// refuses a quarantined request.
//
// State is the deterministic fold of the journal. Guard adds the runtime parts.
package quarantine
