package quarantine

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/journal"
)

// message is the body of a quarantine entry. Exactly one part is set.
type message struct {
	Crash      *Crash      `msgpack:"c,omitempty"`
	Isolate    *isolate    `msgpack:"i,omitempty"`
	Cleared    *cleared    `msgpack:"k,omitempty"`
	Release    *Release    `msgpack:"r,omitempty"`
	Checkpoint *checkpoint `msgpack:"p,omitempty"`
}

// Crash says that an upstream died with requests in flight.
type Crash struct {
	Upstream string `msgpack:"u"`
	// Incarnation is the upstream's, as far as the writer knows it. Reports of
	// one upstream without it count as one crash if they are close in time.
	Incarnation string `msgpack:"n"`
	// Suspects were in flight. Doubtful were too, but have been answered
	// whole elsewhere lately, which speaks for them.
	Suspects []Digest `msgpack:"s"`
	Doubtful []Digest `msgpack:"d"`
}

// isolate asks for an upstream on which no other suspect runs.
type isolate struct {
	Digest   Digest `msgpack:"d"`
	Upstream string `msgpack:"u"`
}

// cleared ends an isolated run that didn't crash its upstream. Passed says that
// it also got further than the run before, so that the suspicion is lifted.
type cleared struct {
	Digest   Digest `msgpack:"d"`
	Upstream string `msgpack:"u"`
	Passed   bool   `msgpack:"p"`
}

// Release is an operator's word that a digest may run again.
type Release struct {
	Digest   Digest `msgpack:"d"`
	Operator string `msgpack:"o"`
	Reason   string `msgpack:"r"`
	// Basis is zero in an operator's release. In a repeat of one, before the
	// log forgets it, it is the release's own position and At its time.
	Basis journal.Position `msgpack:"b"`
	At    time.Time        `msgpack:"t"`
}

// checkpoint repeats what is known of a digest before the log forgets it.
type checkpoint struct {
	Digest  Digest  `msgpack:"d"`
	Crashes []crash `msgpack:"c"`
	Strikes int     `msgpack:"s"`
	// Quarantined is when it was quarantined, zero if it is a suspect.
	Quarantined time.Time `msgpack:"q"`
	// Basis is the position of the last entry that the writer had folded for
	// the digest: a checkpoint never wins over something newer, a release
	// among it.
	Basis journal.Position `msgpack:"b"`
}

// crash is one crash that a digest was in flight at.
type crash struct {
	Upstream    string    `msgpack:"u"`
	Incarnation string    `msgpack:"n"`
	At          time.Time `msgpack:"t"`
}

// entryOf packs a message. msgpack can't fail on these types.
func entryOf(id, writer string, m message) journal.Entry {
	body, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return journal.Entry{Kind: journal.KindQuarantine, ID: id, Writer: writer, Body: body}
}
