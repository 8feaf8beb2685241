// Package controller implements the only component of a deployment with entries that
// sends orders to engines. One controller runs on every entry instance; in each data
// centre and scope, the one that holds the lease leads.
//
// The leader asks the role policy which changes to make, carries each change through the
// steps of package orders, and reads the engine's state back. All state that must survive
// the leader is stored in the journal.
package controller
