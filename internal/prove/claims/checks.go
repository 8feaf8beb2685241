package claims

import (
	"bytes"
	"fmt"
	"time"

	"tamarackchute/claim"
)

// The invariants.
const (
	invariantAtMostOnce     = "a key's call runs at most once"
	invariantNotRunIsTrue   = "a request reported as \"not run\" never ran and never runs"
	invariantNotRunKeyScope = "\"not run\" for a key: no request with the key had run"
	invariantNotRunOwnClaim = "\"not run\" is never reported for another process's claim"
	invariantDoneMatchesRun = "a reported response is the response of the key's run"
	invariantReadersAgree   = "complete readers at one position agree"
	invariantReusedIsTrue   = "\"key reused\" is reported only for a key with two requests"
	invariantAllAnswered    = "after the faults every request is answered"
	invariantGapsClose      = "after the faults every reader recovers the expired history"
	invariantFreshKeyRuns   = "after the faults a new key runs at every process"
	invariantRefusedKeyRuns = "after the faults a refused key runs when sent again"
)

// checkRun checks a run before it is recorded.
func (w *world) checkRun(req *callerRequest, r run) {
	w.check(invariantAtMostOnce, w.runAllowed(req.key, r), func() string {
		return fmt.Sprintf("key %d ran at %v and again at %v", req.key.serial, req.key.runs[0].at, r.at)
	})
	w.check(invariantNotRunIsTrue, !isNotRun(req.result), func() string {
		return fmt.Sprintf("key %d runs after %#v", req.key.serial, req.result)
	})
}

// runAllowed is the upstream's rule: a key's call never runs twice, except that a plain key
// counts as new once the time for which keys are remembered has passed.
func (w *world) runAllowed(k *key, r run) bool {
	if len(k.runs) == 0 {
		return true
	}
	last := k.runs[len(k.runs)-1]
	return !k.key.Timed() && r.at.Sub(last.at) > config.KeyTTL*8/10
}

func isNotRun(r claim.Result) bool {
	switch r.(type) {
	case claim.NotRun, claim.KeyReused, claim.KeyTooOld:
		return true
	}
	return false
}

// checkAnswer checks a result given to a caller.
func (w *world) checkAnswer(p *process, req *callerRequest, r claim.Result) {
	w.report.Event(fmt.Sprintf("answer %T", r))
	if isNotRun(r) {
		w.check(invariantNotRunIsTrue, !req.ran, func() string {
			return fmt.Sprintf("key %d ran before %#v", req.key.serial, r)
		})
	}
	switch r := r.(type) {
	case claim.NotRun:
		w.report.Event("not run: " + string(r.Reason))
		w.checkNotRun(p, req, r)
	case claim.Done:
		w.checkDone(req, r)
	case claim.KeyReused:
		w.checkReused(req)
	}
}

func (w *world) checkNotRun(p *process, req *callerRequest, r claim.NotRun) {
	if r.Scope == claim.ScopeKey {
		w.check(invariantNotRunKeyScope, !w.ranRecently(req.key), func() string {
			return fmt.Sprintf("key %d had run, and %#v", req.key.serial, r)
		})
	}
	if !p.core.Ledger().Complete() {
		// An apparent claim of another process may have lost to a claim that expired.
		return
	}
	state, attempt := p.core.Ledger().Lookup(req.key.key)
	info := w.claims[attempt]
	ownClaim := state == claim.KeyClaimed && info.owner == p && info.writer == p.name
	w.check(invariantNotRunOwnClaim, state == claim.KeyFree || ownClaim, func() string {
		return fmt.Sprintf("key %d is in state %d by %q, and %q says %#v", req.key.serial, state, info.writer, p.name, r)
	})
}

func (w *world) ranRecently(k *key) bool {
	n := len(k.runs)
	return n > 0 && (k.key.Timed() || w.now.Sub(k.runs[n-1].at) < config.KeyTTL*8/10)
}

func (w *world) checkDone(req *callerRequest, r claim.Done) {
	w.check(invariantDoneMatchesRun, matchesRun(req, r), func() string {
		return fmt.Sprintf("key %d: %#v, runs %v", req.key.serial, r, req.key.runs)
	})
	if !r.ResponseComplete {
		w.report.Event("response not recorded")
	}
}

func matchesRun(req *callerRequest, d claim.Done) bool {
	for _, r := range req.key.runs {
		same := r.response.Status == d.Response.Status && r.digest == req.digest
		if same && (!d.ResponseComplete || bytes.Equal(r.response.Body, d.Response.Body)) {
			return true
		}
	}
	return false
}

func (w *world) checkReused(req *callerRequest) {
	differs := false
	for _, o := range req.key.requests {
		differs = differs || o.digest != req.digest
	}
	w.check(invariantReusedIsTrue, differs, func() string {
		return fmt.Sprintf("key %d has one request", req.key.serial)
	})
}

// checkAgreement compares a complete reader with earlier complete readers at its position.
func (w *world) checkAgreement(p *process) {
	if !p.core.Ledger().Complete() {
		return
	}
	at, fingerprint := uint64(p.nextOffset-1), p.core.Ledger().Fingerprint()
	other, ok := w.fingerprints[at]
	if !ok {
		w.fingerprints[at] = fingerprint
		return
	}
	w.check(invariantReadersAgree, fingerprint == other, func() string {
		return fmt.Sprintf("%s differs after record %d", p.name, at)
	})
}

func (w *world) checkAllAnswered() {
	for _, p := range w.procs {
		w.check(invariantAllAnswered, len(p.calls) == 0, func() string {
			return fmt.Sprintf("%s: stage %d of key %d", p.name, p.calls[0].stage, p.calls[0].request.key.serial)
		})
	}
}

// checkGapsClose checks that every process has the complete history after the next
// checkpoint. If none has it before, no checkpoint can be written and nothing is checked.
func (w *world) checkGapsClose() {
	complete := 0
	for _, p := range w.procs {
		if p.core.Ledger().Complete() {
			complete++
		}
	}
	if complete == 0 {
		w.report.Event("no process has the complete history")
		return
	}
	for range 40 {
		w.runRound(time.Second)
	}
	for _, p := range w.procs {
		w.check(invariantGapsClose, p.core.Ledger().Complete(), func() string { return p.name })
	}
}

func (w *world) checkFreshKeyRuns() {
	for _, p := range w.procs {
		req := &callerRequest{key: w.newKey(false), digest: firstDigest}
		req.key.requests = []*callerRequest{req}
		w.checkRuns(p, req, invariantFreshKeyRuns)
	}
}

// checkRefusedKeysRun sends the plain keys again that have no claim, and checks that they run.
func (w *world) checkRefusedKeysRun() {
	p := pick(w, w.procs)
	for _, k := range w.keys {
		state, _ := p.core.Ledger().Lookup(k.key)
		if state != claim.KeyFree || k.key.Timed() || !w.mayResend(k) {
			continue
		}
		req := &callerRequest{key: k, digest: firstDigest}
		k.requests = append(k.requests, req)
		w.checkRuns(p, req, invariantRefusedKeyRuns)
	}
}

func (w *world) checkRuns(p *process, req *callerRequest, invariant string) {
	if !p.core.Ledger().Complete() {
		return
	}
	p.begin(req)
	for range 10 {
		w.runRound(100 * time.Millisecond)
	}
	_, done := req.result.(claim.Done)
	w.check(invariant, done, func() string {
		return fmt.Sprintf("%s, key %d: %#v", p.name, req.key.serial, req.result)
	})
}
