// Package router decides which upstream runs a request.
//
// A decision is filter, score, pick over a Snapshot: filters drop upstreams
// that may not run the request, scorers say in time what each of the rest
// would cost, and the picker chooses among those that cost nearly the least.
// Decisions are pure: snapshot, request, time and random source in, plan out.
//
// Tracker is the runtime beside it. It keeps the books of this process's own
// work in flight and corrects the engines' late load reports by them.
package router
