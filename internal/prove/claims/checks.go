package claims

import (
	"bytes"
	"fmt"
	"time"

	"tamarackchute/claim"
)

// The invariants.
const (
	atMostOnce       = "a key's call runs at most once"
	notRunIsTrue     = "a request told \"not run\" never ran and never runs"
	scopeIsTrue      = "\"not run\" of a whole key: no request with it had run"
	notRunKnows      = "\"not run\" is not said of a key known as another's"
	doneIsTheRuns    = "an answer given is the answer of the key's run"
	readersAgree     = "complete readers at one position agree"
	reusedIsTrue     = "\"key reused\" is said only of a key with two requests"
	allAnswered      = "after the faults every request is answered"
	gapsClose        = "after the faults a reader learns what expired"
	freshKeyRuns     = "after the faults a new key runs at every process"
	refusedKeyReruns = "after the faults a refused key runs when sent again"
)

// checkRun looks at a run before it counts.
func (w *world) checkRun(s *send, r run) {
	w.check(atMostOnce, w.mayRun(s.key, r), func() string {
		return fmt.Sprintf("key %d ran at %v and again at %v", s.key.serial, s.key.runs[0].at, r.at)
	})
	w.check(notRunIsTrue, !saysNotRun(s.result), func() string {
		return fmt.Sprintf("key %d runs after %#v", s.key.serial, s.result)
	})
}

// mayRun is the upstream's view: never twice; a plain key counts as new when
// the time for which keys are remembered has passed.
func (w *world) mayRun(k *key, r run) bool {
	if len(k.runs) == 0 {
		return true
	}
	last := k.runs[len(k.runs)-1]
	return !k.key.Timed() && r.at.Sub(last.at) > config.KeyTTL*8/10
}

func saysNotRun(r claim.Result) bool {
	switch r.(type) {
	case claim.NotRun, claim.KeyReused, claim.KeyTooOld:
		return true
	}
	return false
}

// checkAnswer looks at what a caller is told.
func (w *world) checkAnswer(p *process, s *send, r claim.Result) {
	w.report.Event(fmt.Sprintf("answer %T", r))
	if saysNotRun(r) {
		w.check(notRunIsTrue, !s.ran, func() string {
			return fmt.Sprintf("key %d ran before %#v", s.key.serial, r)
		})
	}
	switch r := r.(type) {
	case claim.NotRun:
		w.report.Event("not run: " + string(r.Reason))
		w.checkNotRun(p, s, r)
	case claim.Done:
		w.checkDone(s, r)
	case claim.KeyReused:
		w.checkReused(s)
	}
}

func (w *world) checkNotRun(p *process, s *send, r claim.NotRun) {
	if r.Scope == claim.ScopeKey {
		w.check(scopeIsTrue, !w.ranLately(s.key), func() string {
			return fmt.Sprintf("key %d had run, and %#v", s.key.serial, r)
		})
	}
	if !p.core.Ledger().Complete() {
		// What seems to be another's claim may have lost to one that expired.
		return
	}
	state, attempt := p.core.Ledger().Lookup(s.key.key)
	info := w.claims[attempt]
	own := state == claim.KeyClaimed && info.owner == p && info.writer == p.name
	w.check(notRunKnows, state == claim.KeyFree || own, func() string {
		return fmt.Sprintf("key %d is in state %d by %q, and %q says %#v", s.key.serial, state, info.writer, p.name, r)
	})
}

func (w *world) ranLately(k *key) bool {
	n := len(k.runs)
	return n > 0 && (k.key.Timed() || w.now.Sub(k.runs[n-1].at) < config.KeyTTL*8/10)
}

func (w *world) checkDone(s *send, r claim.Done) {
	w.check(doneIsTheRuns, matchesRun(s, r), func() string {
		return fmt.Sprintf("key %d: %#v, runs %v", s.key.serial, r, s.key.runs)
	})
	if !r.ResponseComplete {
		w.report.Event("answer not kept")
	}
}

func matchesRun(s *send, d claim.Done) bool {
	for _, r := range s.key.runs {
		same := r.recorded.Status == d.Response.Status && r.digest == s.digest
		if same && (!d.ResponseComplete || bytes.Equal(r.recorded.Body, d.Response.Body)) {
			return true
		}
	}
	return false
}

func (w *world) checkReused(s *send) {
	differs := false
	for _, o := range s.key.sends {
		differs = differs || o.digest != s.digest
	}
	w.check(reusedIsTrue, differs, func() string {
		return fmt.Sprintf("key %d has one request", s.key.serial)
	})
}

// checkAgreement compares a complete reader with those that were at its
// position before.
func (w *world) checkAgreement(p *process) {
	if !p.core.Ledger().Complete() {
		return
	}
	at, print := uint64(p.next-1), p.core.Ledger().Fingerprint()
	other, ok := w.prints[at]
	if !ok {
		w.prints[at] = print
		return
	}
	w.check(readersAgree, print == other, func() string {
		return fmt.Sprintf("%s differs after record %d", p.name, at)
	})
}

func (w *world) checkAllAnswered() {
	for _, p := range w.procs {
		w.check(allAnswered, len(p.calls) == 0, func() string {
			return fmt.Sprintf("%s: stage %d of key %d", p.name, p.calls[0].stage, p.calls[0].request.key.serial)
		})
	}
}

// checkGapsClose waits for the next checkpoint. If no process has the whole
// history nobody can write one.
func (w *world) checkGapsClose() {
	complete := 0
	for _, p := range w.procs {
		if p.core.Ledger().Complete() {
			complete++
		}
	}
	if complete == 0 {
		w.report.Event("no process has the whole history")
		return
	}
	for range 40 {
		w.round(time.Second)
	}
	for _, p := range w.procs {
		w.check(gapsClose, p.core.Ledger().Complete(), func() string { return p.name })
	}
}

func (w *world) checkFreshKeyRuns() {
	for _, p := range w.procs {
		s := &send{key: w.newKey(false), digest: usualDigest}
		s.key.sends = []*send{s}
		w.expectRun(p, s, freshKeyRuns)
	}
}

// checkRefusedKeysRun sends the keys again that nobody holds.
func (w *world) checkRefusedKeysRun() {
	p := pick(w, w.procs)
	for _, k := range w.keys {
		state, _ := p.core.Ledger().Lookup(k.key)
		if state != claim.KeyFree || k.key.Timed() || !w.mayResend(k) {
			continue
		}
		s := &send{key: k, digest: usualDigest}
		k.sends = append(k.sends, s)
		w.expectRun(p, s, refusedKeyReruns)
	}
}

func (w *world) expectRun(p *process, s *send, invariant string) {
	if !p.core.Ledger().Complete() {
		return
	}
	p.begin(s)
	for range 10 {
		w.round(100 * time.Millisecond)
	}
	_, done := s.result.(claim.Done)
	w.check(invariant, done, func() string {
		return fmt.Sprintf("%s, key %d: %#v", p.name, s.key.serial, s.result)
	})
}
