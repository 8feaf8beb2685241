package quarantine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

var commonPart = PartDigest("p", "m", 7)

// Guards against a part that many prompts have, and that is refused for crashes of another cause: it was in
// flight at all of them, and answers come a moment later.
func TestCommonPartIsNotConvictedByCrashesAtOnce(t *testing.T) {
	for name, down := range map[string]func(*sharedSite){
		"links and log": func(*sharedSite) {},
		"links only":    func(s *sharedSite) { s.logDown = true },
		"log only":      func(s *sharedSite) { s.linksDown = true },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSharedSite(3)
			down(s)
			for i := range 20 {
				_ = s.guards[i%3].Crashed(background, fmt.Sprint("u", i), "1", []Digest{commonPart, digest(i)})
			}
			s.readAll()
			for _, g := range s.guards {
				v, err := g.Check(commonPart)
				require.NoError(t, err)
				require.Equal(t, Suspected, v.Status, "it is tried")
			}
			require.Equal(t, s.logDown, s.guards[1].Answered(background, commonPart) != nil)
			s.readAll()
			for i, g := range s.guards {
				if s.linksDown || !s.logDown || i == 1 {
					v, _ := g.Check(commonPart)
					require.Equal(t, Clean, v.Status)
				}
			}
		})
	}
}

// Guards against a lethal part that goes on although its trials crash upstreams, whoever has told of the
// trials, and in whichever order reports of one crash come.
func TestPartIsConvictedByItsTrials(t *testing.T) {
	for name, down := range map[string]func(*sharedSite){
		"links and log": func(*sharedSite) {},
		"links only":    func(s *sharedSite) { s.logDown = true },
		"log only":      func(s *sharedSite) { s.linksDown = true },
	} {
		for _, trialFirst := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", trial first ", trialFirst), func(t *testing.T) {
				s := newSharedSite(3)
				down(s)
				for i := range 4 {
					_ = s.guards[i%3].Crashed(background, fmt.Sprint("u", i), "1", []Digest{commonPart, digest(i)})
				}
				s.readAll()
				for i := range 2 {
					upstream := fmt.Sprint("tried", i)
					if trialFirst {
						_ = s.guards[0].RecordCrash(upstream, "1", []Digest{commonPart}, commonPart)(background)
						s.readAll()
					}
					_ = s.guards[1].Crashed(background, upstream, "1", []Digest{commonPart})
					s.readAll()
					if !trialFirst {
						_ = s.guards[0].RecordCrash(upstream, "1", []Digest{commonPart}, commonPart)(background)
						s.readAll()
					}
				}
				for i, g := range s.guards {
					if s.linksDown && s.logDown {
						continue
					}
					_, err := g.Check(commonPart)
					require.Error(t, err, "process %d", i)
				}
			})
		}
	}
}
