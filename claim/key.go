package claim

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"
)

// KeyID identifies an idempotency key: the first half of its SHA-256 hash.
type KeyID [16]byte

// AttemptID identifies one claim. An attempt is claimed once and dispatched at
// most once; a call that claims again uses a new one.
type AttemptID [16]byte

// Key is an idempotency key in the ledger's form.
type Key struct {
	ID KeyID
	// CreatedAt is when the key was created, by its creator's clock. It is known
	// for keys that are UUIDs of version 7, else zero.
	CreatedAt time.Time
}

// uuidVersionWithTime is the UUID version that begins with a timestamp.
const uuidVersionWithTime = 7

// ParseKey parses a caller's key. Any string is a valid key.
func ParseKey(s string) Key {
	sum := sha256.Sum256([]byte(s))
	k := Key{ID: KeyID(sum[:len(KeyID{})])}
	if u, err := uuid.Parse(s); err == nil && u.Version() == uuidVersionWithTime {
		sec, nsec := u.Time().UnixTime()
		k.CreatedAt = time.Unix(sec, nsec)
	}
	return k
}

// Timed reports whether the key carries its creation time.
func (k Key) Timed() bool { return !k.CreatedAt.IsZero() }

func newAttempt() AttemptID { return AttemptID(uuid.New()) }
