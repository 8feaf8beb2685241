// Package member is the daemon that runs on every instance of a site whose platform lists its
// upstreams and holds its configuration: a supervisor tree of store readers, the exchange with
// the other daemons, and the relay that serves callers.
package member

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the start-up settings of a daemon.
type Settings struct {
	// Instance names the machine, DataCentre its location.
	Instance, DataCentre string
	// Callers, Ready and Directory are the listen addresses, IP:PORT.
	Callers, Ready, Directory string
	// Metrics is the listen address of the metrics page, IP:PORT; empty for none.
	Metrics string
	// PeerAddress is where the other daemons reach this one, PeerPort the port on which all
	// daemons listen for each other.
	PeerAddress string
	PeerPort    int
	// ForwardAddress is where this daemon listens for requests that other daemons forward.
	ForwardAddress string
	// Seeds are peer addresses of some daemons; they may be outdated.
	Seeds []string
	// Store is the address of the platform's store.
	Store string
	// Capacity ranks daemons as load aggregators: the highest is preferred.
	Capacity int
	// MemoryBytes limits the memory of the process.
	MemoryBytes int64
	// MaxDescriptors limits the open descriptors of the process; 0 means the limit that it was started with.
	MaxDescriptors int
	// Grace is the time between the stop signal and the kill.
	Grace time.Duration
	// LapsedEntryGrace is how long upstreams stay in use whose entries lapsed during a store outage,
	// or whose store was restored from an older copy, so that they can write their entries again.
	LapsedEntryGrace time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit retries: in each window all daemons together
	// may make ratio x requests + slack retries per pool.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LeaseTerm is the term of the lease that allows one daemon to order role changes.
	LeaseTerm time.Duration
	// StoreRetention is how long the store keeps records.
	StoreRetention time.Duration
	// ConfigBound is the time within which a published configuration is to be in force at every daemon; 0
	// if there is no such bound.
	ConfigBound time.Duration
	// RevocationBound is the time after its removal from which an API key must not be used any more
	// by any daemon; 0 if there is no such bound.
	RevocationBound time.Duration
	// Provider holds the settings of the calls to the platform.
	Provider ProviderSettings
	// DirectoryTTL limits how long callers cache a directory answer.
	DirectoryTTL time.Duration
}

// Check returns all errors of the settings at once, each naming its field.
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
	require(s.ForwardAddress != "", "address for forwarded requests", "is missing")
	require(s.Grace > 0, "grace", "must be more than 0")
	require(s.RetryWindow > 0, "retry window", "must be more than 0")
	require(s.LeaseTerm > 0, "lease term", "must be more than 0")
	require(s.RetryRatio >= 0, "retry ratio", "must not be negative")
	return errors.Join(faults...)
}
