// Package orders records each change to an engine (of its role, model, version
// or adapter) in the journal, from plan to confirmation, so that the next leader
// can complete or undo it.
//
// A change goes through recorded phases: draining, drained, ordered, and then
// confirmed or undone. A record is accepted only if it comes from the scope's
// current leader, follows the engine's last accepted record and is an allowed
// phase transition. So an engine has at most one open change, also when the
// leader changes. The intent to send an order is recorded before the order is
// sent; its outcome is unknown until the engine's state has been read back.
//
// View tells entry instances which engines must not get new work. Next is the
// leader's decision about one engine, without I/O; the controller executes it.
package orders
