// Package lease elects at most one leader for each scope, by the order of the
// journal. There is no other agreement protocol: every process folds the same
// records and reaches the same verdict on each.
//
// A record names the position of the scope's last accepted record and is
// accepted if that is still the last one: a compare-and-set in log order. The
// offset of an accepted claim is the term's fencing token.
//
// The holder counts its term from before it sent its last record. A claimant
// waits for the term plus clock drift from after it read that record, so the
// holder's authority has ended before the claimant's begins.
//
// Machine is the pure part: state and time in, the next record out. Keeper
// runs a Machine over a journal.Writer, View folds the records.
package lease
