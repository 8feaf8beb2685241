package quarantine

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// olderDigest is the digest by which processes knew a request that named neither pools nor hosts.
func olderDigest(r Request) Digest {
	sum := func(seed uint64) uint64 {
		var h xxhash.Digest
		h.ResetWithSeed(seed)
		for _, name := range []string{r.Scope, r.Method, r.Path} {
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(name))))
			_, _ = h.WriteString(name)
		}
		_, _ = h.Write(r.Body)
		return h.Sum64()
	}
	return Digest{sum(0), sum(wholeSeed)}
}

// Guards against processes that name requests in the older way, and whose entries refuse sound requests of
// another pool, end newer processes, or keep these from refusing the lethal one.
func TestOlderNamesRefuseNoRequest(t *testing.T) {
	s := newSharedSite(3)
	lethal := Request{Scope: "o", Method: "GET", Path: "/api/status", Pool: "north", Host: "north.example"}
	sound := Request{Scope: "o", Method: "GET", Path: "/api/status", Pool: "south", Host: "south.example"}
	for i := range 3 {
		s.crash(0, fmt.Sprint("u", i), olderDigest(lethal))
	}
	s.readAll()
	require.Equal(t, Quarantined, s.statusAt(1, olderDigest(lethal)), "its processes go on to refuse it")
	for i := range s.guards {
		require.False(t, s.guards[i].Knows(&sound), "process %d", i)
		require.False(t, s.guards[i].Knows(&lethal), "process %d learns it anew", i)
	}
	for i := range 3 {
		s.crash(1+i%2, fmt.Sprint("v", i), lethal.Digest())
		s.crash(0, fmt.Sprint("w", i), olderDigest(lethal))
		require.NoError(t, s.guards[0].Answered(background, olderDigest(sound)))
		s.readAll()
	}
	for i := range s.guards {
		require.Equal(t, Quarantined, s.statusAt(i, lethal.Digest()), "process %d", i)
		require.False(t, s.guards[i].Knows(&sound), "process %d", i)
	}
	s.now = s.now.Add(2 * time.Hour)
	s.crash(0, "x", digest(1))
	s.readAll()
	require.Equal(t, Clean, s.statusAt(1, olderDigest(lethal)), "older names expire")
}

// Guards against a part of prompts that is refused in one pool because it crashes the engines of another, and
// against one that goes on because requests of other hosts have it.
func TestPartsAreKnownByPool(t *testing.T) {
	r := Request{Path: "/x", Pool: "p", Host: "a", Model: "m", Parts: []uint64{7}}
	otherHost, otherPool := r, r
	otherHost.Host, otherPool.Pool = "b", "q"
	require.Equal(t, r.Digests()[1], otherHost.Digests()[1])
	require.NotEqual(t, r.Digests()[1], otherPool.Digests()[1])
	require.NotEqual(t, PartDigest("pm", "", 7), PartDigest("p", "m", 7))
}
