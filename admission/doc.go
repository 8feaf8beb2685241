// Package admission decides which requests start now, which wait and which are
// refused at once.
//
// A request is admitted only if its complete response is expected by its deadline.
// Others are refused before anything is sent, so that the refusal's "not run" is
// true, with a time after which a retry may succeed. Waiting requests are ordered
// by class (each with a window of outstanding work), priority, and fair shares of
// the organisations, measured in tokens.
//
// The decisions are pure functions of time and events; Controller is the runtime
// around them.
package admission
