package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"tamarackchute/internal/wire"
)

// Guards against daemons that take more than the slack of retries together while others join that not
// all have heard of.
func TestSharesOfJoiningDaemonsStayWithinTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 230.0
		daemons := rapid.IntRange(1, 2000).Draw(t, "daemons")
		unheard := rapid.IntRange(0, daemons/9).Draw(t, "unheard")
		require.LessOrEqual(t, float64(daemons)*retryShare(slack, daemons-unheard), slack*1.0000001)
	})
}

// Guards against daemons behind a long cut that forget the others and take their shares of the slack,
// while those go on.
func TestForgottenDaemonsKeepTheirShareOfTheSlack(t *testing.T) {
	p := newPeersHarness("a")
	for _, name := range []string{"b", "c", "d"} {
		p.Add(wire.MemberAddress{Instance: name, Peers: name + ":1"})
	}
	require.Equal(t, 4, p.KnownCount())
	p.checkSilence(time.Now().Add(2 * forgetPeerAfter))
	require.Equal(t, 1, p.KnownCount(), "forgotten")
	require.Equal(t, 4, p.MostKnown())
}

// Guards against a daemon that starts behind a cut, and takes a share as if it were one of few.
func TestDaemonThatHasHeardOfNoneTakesNoSlack(t *testing.T) {
	p := newPeersHarness("a")
	m := &Member{peers: p.Peers, daemons: &topicReader{}}
	m.settings.Store(&Settings{RetrySlack: 50})
	require.Zero(t, m.retrySlack())
	m.daemons.recordRead(0, time.Now())
	require.Equal(t, 5.0, m.retrySlack())
}
