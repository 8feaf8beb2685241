package quarantine

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/journal"
)

// message is the body of a quarantine entry. Exactly one field is set.
type message struct {
	Crash        *Crash        `msgpack:"c,omitempty"`
	Isolate      *isolate      `msgpack:"i,omitempty"`
	IsolationEnd *isolationEnd `msgpack:"k,omitempty"`
	Completed    *completed    `msgpack:"d,omitempty"`
	Release      *Release      `msgpack:"r,omitempty"`
	Checkpoint   *checkpoint   `msgpack:"p,omitempty"`
	// Claim and ClaimEnd pass between processes only.
	Claim    *claim    `msgpack:"l,omitempty"`
	ClaimEnd *claimEnd `msgpack:"e,omitempty"`
}

// Crash reports that an upstream crashed with requests in flight.
type Crash struct {
	Upstream string `msgpack:"u"`
	// Incarnation is the upstream's, or "" if the writer doesn't know it. Two reports
	// of which either lacks it count as the same crash if they are close in time.
	Incarnation string `msgpack:"n"`
	// Suspects were in flight. So were Doubtful, but these got a complete
	// response recently and are unlikely to be the cause.
	Suspects []Digest `msgpack:"s"`
	Doubtful []Digest `msgpack:"d"`
	// Tried are those of Suspects of which this was a trial: no other request of theirs was running.
	Tried []Digest `msgpack:"t,omitempty"`
	// Answered are those of Suspects that got a complete response lately, as far as the writer knows.
	Answered []Digest `msgpack:"w,omitempty"`
	// Age is the time since the crash if the report is a repetition; 0 in the journal.
	Age time.Duration `msgpack:"a,omitempty"`
}

func (c *Crash) id() crashID { return crashID{c.Upstream, c.Incarnation} }

// isolate requests an upstream on which no other suspect runs.
type isolate struct {
	Digest   Digest `msgpack:"d"`
	Upstream string `msgpack:"u"`
}

// isolationEnd ends an isolated run. Passed says that the run was complete or
// got further than the one before, so that the digest is no longer a suspect.
type isolationEnd struct {
	Digest   Digest `msgpack:"d"`
	Upstream string `msgpack:"u"`
	Passed   bool   `msgpack:"p"`
}

// completed reports that a suspect got a complete response.
type completed struct {
	Digest Digest `msgpack:"d"`
	// Crashes are those that the writer knew of. Reports of them may be read later.
	Crashes []crashID `msgpack:"c,omitempty"`
}

// crashID identifies a crash, for certain if the incarnation is known.
type crashID struct {
	Upstream    string `msgpack:"u"`
	Incarnation string `msgpack:"n"`
}

// sameAs reports whether two reports tell of the same crash. Where either lacks the incarnation, it depends
// on whether they are close in time.
func (c crashID) sameAs(o crashID, closeInTime bool) bool {
	if c.Upstream != o.Upstream {
		return false
	}
	if c.Incarnation == "" || o.Incarnation == "" {
		return closeInTime
	}
	return c.Incarnation == o.Incarnation
}

// Release is an operator's decision that a digest may run again.
type Release struct {
	Digest   Digest `msgpack:"d"`
	Operator string `msgpack:"o"`
	Reason   string `msgpack:"r"`
	// Basis is zero in an operator's release. In a copy, written before the
	// release expires, Basis and At are the position and time of the original.
	Basis journal.Position `msgpack:"b"`
	At    time.Time        `msgpack:"t"`
}

// checkpoint repeats the state of a digest before its entries expire.
type checkpoint struct {
	Digest  Digest  `msgpack:"d"`
	Crashes []crash `msgpack:"c"`
	Strikes int     `msgpack:"s"`
	// Quarantined is when it was quarantined; zero for a suspect.
	Quarantined time.Time `msgpack:"q"`
	Answered    bool      `msgpack:"w,omitempty"`
	// Basis is the position of the last entry that the writer had folded for the
	// digest: a checkpoint never overrides a newer entry, such as a release.
	Basis journal.Position `msgpack:"b"`
}

// crash is one crash during which a digest was in flight.
type crash struct {
	Upstream    string    `msgpack:"u"`
	Incarnation string    `msgpack:"n"`
	At          time.Time `msgpack:"t"`
	// Tried says that it ended a trial of the digest.
	Tried bool `msgpack:"r,omitempty"`
}

func (c *crash) id() crashID { return crashID{c.Upstream, c.Incarnation} }

// entryOf encodes a message. Encoding can't fail for these types.
func entryOf(kind journal.Kind, id, writer string, m message) journal.Entry {
	body, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	return journal.Entry{Kind: kind, ID: id, Writer: writer, Body: body}
}
