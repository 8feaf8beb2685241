package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"tamarackchute/platform/standin"
)

// Guards against a check of daemons without a path that blames them while no other daemon could have
// served for them, or that takes a daemon in another cut for one with a path.
func TestCutDaemonsAreBlamedForWhatOthersCouldServe(t *testing.T) {
	ok, refused := standin.Reply{Status: http.StatusOK}, standin.Reply{Err: errors.New("refused")}
	cases := []struct {
		name string
		// disturbed is the subject of a fault during all requests; empty for none.
		disturbed string
		// cut and others are the responses of daemon 0, which has no path, and of the daemons 1 and 2.
		cut, others standin.Reply
		broken      []Promise
	}{
		{"refuses what others serve", "", refused, ok, []Promise{CutDaemonsServe}},
		{"one of the others is starting", daemonSubject(1), refused, ok, []Promise{CutDaemonsServe}},
		{"serves", "", ok, ok, nil},
		{"nobody serves", "", refused, refused, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, cut := newOracle(newFaultLog()), cutOf(0, 1, 2)
			o.cuts[cut] = true
			if c.disturbed != "" {
				o.faults.begin(c.disturbed)
			}
			for range 50 {
				answerFrom(o, 0, c.cut)
				answerFrom(o, 1, c.others)
				answerFrom(o, 2, c.others)
			}
			o.pathsHealed(cut)
			require.Equal(t, c.broken, brokenBy(o))
		})
	}
	t.Run("no other daemon is in touch", func(t *testing.T) {
		o, cut := newOracle(newFaultLog()), cutOf(0, 1, 2)
		o.cuts[cut] = true
		answerFrom(o, 1, ok)
		o.faults.begin(daemonSubject(1))
		o.faults.begin(pathSubject(2))
		for range 50 {
			answerFrom(o, 0, refused)
			answerFrom(o, 2, refused)
		}
		o.pathsHealed(cut)
		require.Empty(t, brokenBy(o))
		require.Equal(t, servedCount{}, cut.cut)
		require.Equal(t, servedCount{sent: 1, served: 1}, cut.others)
	})
}

func cutOf(daemon int, withPath ...int) *pathCut {
	return &pathCut{daemons: map[int]bool{daemon: true}, withPath: withPath, from: time.Now().Add(-time.Minute)}
}

// answerFrom counts a response of a daemon to a request sent now.
func answerFrom(o *oracle, daemon int, r standin.Reply) {
	now := time.Now()
	o.recordCut(&request{key: &accessKey{}, daemon: daemon, sentAt: now}, r, now)
}
