package journal

import (
	"fmt"

	"github.com/rotisserie/eris"

	"tamarackchute/infra"
)

// The errors of Append. Those that match infra.ErrNotWritten are final: the
// entry is not in the log and never will be.
var (
	// ErrBacklogFull means that too many entries are pending, for example while
	// the log is unavailable. It matches infra.ErrNotWritten.
	ErrBacklogFull = fmt.Errorf("journal: too many entries wait for the log: %w", infra.ErrNotWritten)
	// ErrNeverSent means that the caller's context ended before the entry was
	// sent. It matches infra.ErrNotWritten.
	ErrNeverSent = fmt.Errorf("journal: given up before the entry was sent: %w", infra.ErrNotWritten)
	// ErrTooLarge means that the entry doesn't fit into one record. It matches
	// infra.ErrNotWritten.
	ErrTooLarge = fmt.Errorf("journal: entry is larger than a record may be: %w", infra.ErrNotWritten)
	// ErrOutcomeUnknown means that the caller's context ended after the entry
	// was sent and before the local reader had applied it. The entry may be in
	// the log or may still arrive there.
	ErrOutcomeUnknown = eris.New("journal: entry was sent, its outcome is not known")
	// errCorrupt means that a record doesn't have this journal's encoding.
	errCorrupt = eris.New("journal: record can't be decoded")
)
