package claims

import (
	"encoding/binary"
	"fmt"
	"time"

	"tamarackchute/claim"
	"tamarackchute/journal"
)

// key is an idempotency key as its caller uses it.
type key struct {
	key    claim.Key
	sends  []*send
	runs   []run
	first  time.Time
	serial int
}

// send is one request of a caller.
type send struct {
	key    *key
	digest uint64
	result claim.Result
	ran    bool
}

// run is one run at the upstream.
type run struct {
	at       time.Time
	digest   uint64
	recorded claim.Response
}

// request is on its way to the upstream.
type request struct {
	call   *call
	send   *send
	sentAt time.Time
}

// maxUnderWay bounds how long a request is on its way, which stands for a
// process paused within the very write as well.
const maxUnderWay = 5 * time.Minute

type reply struct {
	recorded claim.Response
	failure  claim.DispatchResult
}

// Digests of requests: now and then a key is used for a second one.
const (
	usualDigest = 1
	otherDigest = 2
)

// maxKeys bounds the keys of an interleaving.
const maxKeys = 5

// callerActs sends a new or a repeated request, or gives one up.
func (w *world) callerActs() {
	if w.chance(10) {
		if c := pick(w, pick(w, w.procs).calls); c != nil {
			c.gaveUp = true
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
		p.begin(w.newSend(k))
	}
}

func (w *world) newKey(timed bool) *key {
	k := &key{first: w.now, serial: len(w.keys) + 1}
	binary.BigEndian.PutUint64(k.key.ID[:], uint64(k.serial))
	if timed {
		k.key.CreatedAt = w.now.Add(w.between(-2*config.KeySkew, 2*config.KeySkew)).Truncate(time.Millisecond)
	}
	w.keys = append(w.keys, k)
	return k
}

func (w *world) newSend(k *key) *send {
	s := &send{key: k, digest: usualDigest}
	if w.chance(4) {
		s.digest = otherDigest
	}
	k.sends = append(k.sends, s)
	return s
}

// mayResend is the rule for callers: a plain key is not sent again when it is
// about to be forgotten. Long after that it counts as new.
func (w *world) mayResend(k *key) bool {
	age := w.now.Sub(k.first)
	return k.key.Timed() || age < config.KeyTTL*9/10 || age > config.KeyTTL*12/10
}

// lostOnItsWay is the highest number of arrive's draw for a lost request.
const lostOnItsWay = 22

// arrive lets a request reach the upstream, or get lost.
func (w *world) arrive() {
	if len(w.network) == 0 {
		return
	}
	i := w.rng.IntN(len(w.network))
	r := w.network[i]
	w.network = append(w.network[:i], w.network[i+1:]...)
	n := 99
	if !w.calm {
		n = w.rng.IntN(100)
	}
	if w.now.Sub(r.sentAt) > maxUnderWay {
		n = lostOnItsWay
	}
	switch {
	case n < 8:
		r.call.reply = &reply{failure: claim.DispatchNotRun}
	case n < 14:
		r.call.reply = &reply{failure: claim.DispatchMayHaveRun}
		w.report.Event("upstream broke before running")
	case n < 20:
		w.run(r.send)
		r.call.reply = &reply{failure: claim.DispatchMayHaveRun}
		w.report.Event("upstream broke after running")
	case n <= lostOnItsWay:
		w.report.Event("request lost on its way")
	default:
		recorded := w.run(r.send)
		r.call.reply = &reply{recorded: recorded}
	}
}

// run carries a request out and makes its answer, like no other's.
func (w *world) run(s *send) claim.Response {
	w.runs++
	body := fmt.Sprintf("run %d", w.runs)
	if w.chance(20) {
		body += " with an answer that is too long to be kept"
	}
	r := run{at: w.now, digest: s.digest, recorded: claim.Response{Status: 200 + w.runs%50, Body: []byte(body)}}
	w.checkRun(s, r)
	s.ran = true
	s.key.runs = append(s.key.runs, r)
	w.report.Event("run")
	return r.recorded
}

// forgeWithdrawal makes the withdrawal of somebody else's claim, as if that
// one had made it.
func forgeWithdrawal(w *world, attempt claim.AttemptID, info claimInfo) journal.Entry {
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
