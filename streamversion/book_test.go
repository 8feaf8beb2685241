package streamversion

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const retention = 20 * time.Second

// pools returns what is observed of pool llm, and of another one if that has versions.
func pools(llm []string, other ...string) map[string]Listed {
	all := map[string]Listed{"llm": {Versions: llm, Retention: retention}}
	if len(other) > 0 {
		all["other"] = Listed{Versions: other, Retention: retention}
	}
	return all
}

// process is a book with its clock and whether its list is recent.
type process struct {
	*Book
	now     time.Time
	current bool
}

// newProcess returns a process that began the retention and a second ago in a pool of one version.
func newProcess() *process {
	p := &process{now: time.Unix(1, 0), current: true}
	p.Book = NewBook(func() time.Time { return p.now }, func() bool { return p.current })
	p.Observe(pools([]string{"v1"}))
	p.now = p.now.Add(retention + time.Second)
	return p
}

func (p *process) requireVersion(t *testing.T, want string, s Stream) {
	t.Helper()
	got, known := p.Version("llm", s)
	require.Equal(t, want, got)
	require.Equal(t, want != "", known)
}

// Guards against a version that is assumed although another one may have begun the stream.
func TestVersionIsNotGuessed(t *testing.T) {
	p := newProcess()
	p.requireVersion(t, "v1", 1)
	p.current = false
	p.requireVersion(t, "", 1)
	p.current = true
	p.Observe(pools([]string{"v1", "v2"}))
	p.requireVersion(t, "", 1)
	p.Observe(pools([]string{"v2"}))
	p.requireVersion(t, "", 1)
	p.now = p.now.Add(retention + time.Second)
	p.requireVersion(t, "v2", 1)
	p.Observe(nil)
	p.requireVersion(t, "v2", 1)
}

// Guards against a process that assumes nothing served before its own start.
func TestNewProcessKnowsNoPast(t *testing.T) {
	p := &process{now: time.Unix(1, 0), current: true}
	p.Book = NewBook(func() time.Time { return p.now }, func() bool { return p.current })
	p.Observe(pools([]string{"v2"}))
	p.requireVersion(t, "", 1)
	p.HearSole("llm", "v1")
	p.requireVersion(t, "", 1)
	require.True(t, p.Begin(Begun{"llm", "v2", 2}), "others are as new, perhaps")
	heard := p.Changed()
	p.HearSole("llm", "v2")
	p.requireVersion(t, "v2", 1)
	<-heard
	require.False(t, p.Begin(Begun{"llm", "v2", 3}))
}

// Guards against streams of which others aren't told, and against reports where one version serves.
func TestStreamsAreToldWhereVersionsDiffer(t *testing.T) {
	p := newProcess()
	old := Begun{"llm", "v1", 1}
	require.False(t, p.Begin(old))
	other := Begun{"other", "v1", 2}
	require.False(t, p.Begin(other))
	require.Equal(t, []Begun{old}, p.Observe(pools([]string{"v1", "v2"}, "v1")))
	require.Empty(t, p.Observe(pools([]string{"v1", "v2"}, "v1")))
	require.True(t, p.Begin(Begun{"llm", "v2", 3}))
	p.requireVersion(t, "v2", 3)
	p.requireVersion(t, "v1", 1)

	q := newProcess()
	q.Observe(pools([]string{"v1", "v2"}))
	q.Hear(old)
	q.requireVersion(t, "v1", 1)
	require.Empty(t, q.Observe(pools([]string{"v1", "v2", "v3"})), "streams of others are theirs to tell")
}

// Guards against an ID that is used again in another pool, or much later, and taken for the earlier
// stream.
func TestStreamsAreForgotten(t *testing.T) {
	p := newProcess()
	p.Observe(pools([]string{"v1", "v2"}))
	p.Hear(Begun{"other", "v1", 1})
	p.requireVersion(t, "", 1)
	p.Hear(Begun{"llm", "v1", 1})
	p.now = p.now.Add(retention + time.Second)
	p.requireVersion(t, "", 1)
}

func BenchmarkBegin(b *testing.B) {
	book := NewBook(nil, func() bool { return true })
	for i := range b.N {
		book.Begin(Begun{"llm", "v1", Stream(i)})
	}
}
