// Package router decides which upstream runs a request.
//
// A decision filters, scores and picks over a Snapshot: filters reject upstreams
// that may not run the request, scorers express the cost of each remaining one
// as a time, and the picker draws among those with a cost close to the lowest.
// Decisions are pure functions of snapshot, request, time and random source.
//
// Tracker holds the runtime state around them. It records this process's work in
// flight and corrects the engines' delayed load reports by it.
package router
