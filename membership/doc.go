// Package membership determines which entry instances are live, suspected,
// leaving or gone. It starts from the platform's instance list, which lags by
// seconds, and corrects it with messages between instances: heartbeats to all
// others within a data centre, and one summary a second from one sender of each
// data centre to each other data centre. There is no all-to-all traffic between
// data centres.
//
// The result is a hint and may be wrong at any time, in both directions. A caller
// sent to an instance that is gone wastes one connection attempt; a caller not
// sent to a live instance uses another one. No guarantee of the system depends on
// it: leadership, at-most-once execution, rules and orders depend on the log alone.
//
// Machine is a state machine without I/O: its inputs are messages, the list and
// the time, its outputs messages and a View. Runner runs it over a Transport.
package membership
