// Package admission decides which requests start now, which wait and which
// are refused at once.
//
// A request is taken only if it is expected to be answered whole by its
// deadline. What can't be is refused before anything was sent, so the refusal's
// "not run" is true, with the time after which a repeat may succeed. Waiting
// requests are ordered by class (a window of work sent ahead for each),
// priority and fair shares of the organisations, counted in tokens.
//
// The decisions are pure: time and events in, decisions out. Controller is the
// runtime around them.
package admission
