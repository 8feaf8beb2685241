// Package member is the daemon that runs on every instance of a site whose
// platform lists its upstreams and holds its configuration: a supervisor tree of
// the feeds that learn, the exchange with the other daemons, and the relay that
// serves callers.
package member

import (
	"errors"
	"fmt"
	"time"
)

// Settings are what a daemon is told at its start.
type Settings struct {
	// Instance names the machine, DataCentre its place.
	Instance, DataCentre string
	// Callers, Ready and Directory are the addresses to serve at, IP:PORT.
	Callers, Ready, Directory string
	// Metrics is the address of the metrics page, IP:PORT; empty for none.
	Metrics string
	// PeerAddress is where the other daemons reach this one, PeerPort the port
	// at which all of them listen.
	PeerAddress string
	PeerPort    int
	// Seeds are peer addresses of some daemons; they may be outdated.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Capacity ranks daemons by what they can do for the others.
	Capacity int
	// MemoryBytes is the most that the process may use.
	MemoryBytes int64
	// Grace is the time from the signal to stop to the kill.
	Grace time.Duration
	// ReturnWithin is the time after an outage of the store in which entries
	// that lapsed meanwhile come back.
	LapsedEntryGrace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound repeats: in each window a
	// pool gets at most ratio x requests + slack of them from all daemons.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LeaseTerm is how long one daemon's right to order engines lasts.
	LeaseTerm time.Duration
	// StoreKeeps is how long the store keeps records.
	StoreRetention time.Duration
	// DirectoryTTL is the longest time that callers keep a directory's answer.
	DirectoryTTL time.Duration
}

// Check returns all faults of the settings at once, each naming its field.
func (s *Settings) Check() error {
	var faults []error
	require := func(ok bool, field, problem string) {
		if !ok {
			faults = append(faults, fmt.Errorf("settings: %s %s", field, problem))
		}
	}
	require(s.Instance != "", "instance name", "is missing")
	require(s.DataCentre != "", "data centre", "is missing")
	require(s.Store != "", "store address", "is missing")
	require(s.Callers != "", "callers' address", "is missing")
	require(s.PeerAddress != "", "peers' address", "is missing")
	require(s.Grace > 0, "grace", "must be more than 0")
	require(s.RetryWindow > 0, "retry window", "must be more than 0")
	require(s.LeaseTerm > 0, "lease term", "must be more than 0")
	require(s.RetryRatio >= 0, "retry ratio", "must not be negative")
	return errors.Join(faults...)
}
