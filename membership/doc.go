// Package membership tells which entry instances are live, suspected, leaving
// or gone. It starts from the platform's list, which lags by seconds, and
// corrects it by what instances tell each other: heartbeats to everybody within
// a data centre, and between data centres one summary a second from one sender
// of each. Nothing goes from all to all beyond a data centre.
//
// What it says is a hint and may be wrong at any time, in both directions. A
// caller sent to an instance that has gone wastes a connect; one that isn't
// sent to a live instance goes to another. No promise of the system rests on
// it: authority, at most once, rules and orders are settled by the log alone.
//
// Machine is the pure part: messages, list and time in, messages and a View
// out. Runner runs it over a Transport.
package membership
