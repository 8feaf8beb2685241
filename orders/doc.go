// Package orders carries one change to an engine (a role, a model, a version
// or an adapter) from its plan to its confirmation, so that whoever leads next
// can finish it or undo it from the journal.
//
// A change goes through recorded phases: draining, drained, ordered, then
// confirmed or undone. The fold accepts a record only from the scope's current
// leader, only after the engine's last accepted record, and only as a step
// that the phases allow; so there is at most one open change per engine,
// whoever leads. The intent to order is recorded before the order is sent:
// from there on its fate is open until the engine's state has been read back.
//
// View shows entries which engines to leave alone. Next is the pure decision
// of a leader about one engine; the runtime that carries it out lives in the
// controller.
package orders
