// Package capacity measures what the system's parts cost as a deployment grows,
// and works out from it what they would cost at sizes that no single machine
// can run.
//
// An Experiment measures one cost at several sizes and several times over. Its
// Fit is a straight line by least squares: the slope is the cost of one more
// (upstream, instance, key, ...), the base is what is there at size 0. Lines
// hold the fits in a CSV file, each under an id such as
// router.state.bytes_per_upstream. Rows are formulas over these ids and over
// the figures of a Scenario; docs/CAPACITY.md shows them with their results.
package capacity
