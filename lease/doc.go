// Package lease gives each scope at most one leader, by the order of the
// journal. There is no other agreement: every process folds the same records
// and reaches the same verdict on each.
//
// A record names the position of the scope's last accepted record and is
// accepted if that still is the last one: a compare-and-set by the log's
// order. A claimant waits out the holder's term, drift added, from when it
// read that record; the holder counts its term from before it sent it, so the
// holder has stopped before anybody else can begin. The offset of an accepted
// claim is the term's fencing number.
//
// Machine is the pure part: state and time in, the next record out. Keeper
// runs a Machine over a journal.Writer, View folds the records.
package lease
