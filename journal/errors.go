package journal

import (
	"fmt"

	"github.com/rotisserie/eris"

	"tamarackchute/infra"
)

// The errors of Append. Those that match infra.ErrNotWritten are final: the
// entry is not in the log and never will be.
var (
	// ErrBacklogFull says that too many entries wait for the log, as they do
	// while it is down. It matches infra.ErrNotWritten.
	ErrBacklogFull = fmt.Errorf("journal: too many entries wait for the log: %w", infra.ErrNotWritten)
	// ErrNeverSent says that the caller's context ended before the entry was
	// sent. It matches infra.ErrNotWritten.
	ErrNeverSent = fmt.Errorf("journal: given up before the entry was sent: %w", infra.ErrNotWritten)
	// ErrTooLarge says that the entry doesn't fit into one record. It matches
	// infra.ErrNotWritten.
	ErrTooLarge = fmt.Errorf("journal: entry is larger than a record may be: %w", infra.ErrNotWritten)
	// ErrOutcomeUnknown says that the caller's context ended after the entry
	// was sent and before the own reader had folded it. The entry may be in
	// the log, or may still arrive.
	ErrOutcomeUnknown = eris.New("journal: entry was sent, its outcome is not known")
	// errCorrupt says that a record is not of this journal's form.
	errCorrupt = eris.New("journal: record can't be decoded")
)
