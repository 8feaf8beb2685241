package claims

import (
	"encoding/binary"
	"fmt"
	"time"

	"tamarackchute/claim"
	"tamarackchute/journal"
)

// key is an idempotency key and its use by callers.
type key struct {
	key       claim.Key
	requests  []*callerRequest
	runs      []run
	firstSent time.Time
	serial    int
}

// callerRequest is one request of a caller.
type callerRequest struct {
	key    *key
	digest uint64
	result claim.Result
	ran    bool
}

// run is one execution at the upstream.
type run struct {
	at       time.Time
	digest   uint64
	response claim.Response
}

// dispatchedRequest is a request in transit to the upstream.
type dispatchedRequest struct {
	call    *call
	request *callerRequest
	sentAt  time.Time
}

// maxDelivery bounds a request's time in transit, which includes any pause of the process
// during the write itself.
const maxDelivery = 5 * time.Minute

type reply struct {
	response claim.Response
	result   claim.DispatchResult
}

// Digests of requests. A key is occasionally used for a second request.
const (
	firstDigest  = 1
	secondDigest = 2
)

// maxKeys limits the keys of an interleaving.
const maxKeys = 5

// stepCaller sends a new or a repeated request, or lets one's deadline pass.
func (w *world) stepCaller() {
	if w.chance(10) {
		if c := pick(w, pick(w, w.procs).calls); c != nil {
			c.deadlinePassed = true
		}
		return
	}
	k := pick(w, w.keys)
	if k == nil || (len(w.keys) < maxKeys && w.chance(40)) {
		k = w.newKey(w.chance(50))
	}
	if !w.mayResend(k) {
		return
	}
	if p := pick(w, w.procs); p.running() {
		p.begin(w.newRequest(k))
	}
}

func (w *world) newKey(timed bool) *key {
	k := &key{firstSent: w.now, serial: len(w.keys) + 1}
	binary.BigEndian.PutUint64(k.key.ID[:], uint64(k.serial))
	if timed {
		k.key.CreatedAt = w.now.Add(w.randDuration(-2*config.KeySkew, 2*config.KeySkew)).Truncate(time.Millisecond)
	}
	w.keys = append(w.keys, k)
	return k
}

func (w *world) newRequest(k *key) *callerRequest {
	req := &callerRequest{key: k, digest: firstDigest}
	if w.chance(4) {
		req.digest = secondDigest
	}
	k.requests = append(k.requests, req)
	return req
}

// mayResend is the rule for callers: a plain key is not sent again shortly before or after
// it is forgotten. Long after that it counts as new.
func (w *world) mayResend(k *key) bool {
	age := w.now.Sub(k.firstSent)
	return k.key.Timed() || age < config.KeyTTL*9/10 || age > config.KeyTTL*12/10
}

// lastLostDraw is the highest random draw in deliver for which a request is lost.
const lastLostDraw = 22

// deliver ends a random request's transit: it reaches the upstream, fails or gets lost.
func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.rng.IntN(len(w.network))
	r := w.network[i]
	w.network = append(w.network[:i], w.network[i+1:]...)
	n := 99
	if !w.faultsEnded {
		n = w.rng.IntN(100)
	}
	if w.now.Sub(r.sentAt) > maxDelivery {
		n = lastLostDraw
	}
	switch {
	case n < 8:
		r.call.reply = &reply{result: claim.DispatchNotRun}
	case n < 14:
		r.call.reply = &reply{result: claim.DispatchMayHaveRun}
		w.report.Event("upstream broke before running")
	case n < 20:
		w.run(r.request)
		r.call.reply = &reply{result: claim.DispatchMayHaveRun}
		w.report.Event("upstream broke after running")
	case n <= lastLostDraw:
		w.report.Event("request lost in transit")
	default:
		response := w.run(r.request)
		r.call.reply = &reply{response: response}
	}
}

// run executes a request and returns a unique response.
func (w *world) run(req *callerRequest) claim.Response {
	w.runs++
	body := fmt.Sprintf("run %d", w.runs)
	if w.chance(20) {
		body += " with an answer that is too long to be kept"
	}
	r := run{at: w.now, digest: req.digest, response: claim.Response{Status: 200 + w.runs%50, Body: []byte(body)}}
	w.checkRun(req, r)
	req.ran = true
	req.key.runs = append(req.key.runs, r)
	w.report.Event("run")
	return r.response
}

// forgeWithdrawal creates a withdrawal of another process's claim, as if its owner had
// written it.
func forgeWithdrawal(w *world, attempt claim.AttemptID, info claimOwner) journal.Entry {
	c := claim.NewCore(config, w.now)
	c.NewAttempt = func() claim.AttemptID { return attempt }
	env := claim.Env{Now: w.now, LogUp: true}
	id, step := c.Start(env, claim.Key{ID: info.key.key.ID}, info.digest)
	entry := step.(claim.ClaimStep).Entry
	c.Apply(journal.LogEntry{Position: journal.Position{Offset: 1}, At: w.now, ReadAt: w.now, Entry: entry})
	c.Claimed(env, id, claim.Appended)
	c.Confirm(env, id, true)
	e := c.Outbox()[0].Entry
	e.Writer = info.writer
	return e
}
