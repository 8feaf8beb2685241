// Package controller is the only part of the system that sends orders to
// engines. One runs on every entry instance; per data centre and scope one of
// them leads at a time, by the lease.
//
// A leader asks the role policy what to change, carries each change through
// the steps of package orders, and reads the engine's state back. All that
// must outlive it stands in the journal.
package controller
