package claim

import (
	"crypto/sha256"
	"time"

	"github.com/google/uuid"
)

// KeyID stands for an idempotency key: the first half of its SHA-256.
type KeyID [16]byte

// AttemptID names one claim. An attempt is claimed once and dispatched at most
// once; a call that claims again takes a new one.
type AttemptID [16]byte

// Key is an idempotency key as the ledger handles it.
type Key struct {
	ID KeyID
	// Made is when the key was made, by its maker's clock. It is known for
	// keys that are UUIDs of version 7, else zero.
	CreatedAt time.Time
}

// uuidVersionWithTime is the UUID version that begins with the time.
const uuidVersionWithTime = 7

// ParseKey reads a caller's key. Any string is a key.
func ParseKey(s string) Key {
	sum := sha256.Sum256([]byte(s))
	k := Key{ID: KeyID(sum[:len(KeyID{})])}
	if u, err := uuid.Parse(s); err == nil && u.Version() == uuidVersionWithTime {
		sec, nsec := u.Time().UnixTime()
		k.CreatedAt = time.Unix(sec, nsec)
	}
	return k
}

// Timed reports whether the key carries its time.
func (k Key) Timed() bool { return !k.CreatedAt.IsZero() }

func newAttempt() AttemptID { return AttemptID(uuid.New()) }
