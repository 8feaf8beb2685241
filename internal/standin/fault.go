package standin

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Dose says how often a fault strikes.
type Trigger struct {
	// Next is how many of the coming events are struck; -1 means all.
	Next int `json:"next"`
	// Fraction of the events beyond those is struck, drawn from a fixed seed.
	Fraction float64 `json:"fraction"`
}

func (d *Trigger) fires(rng *rand.Rand) bool {
	if d.Next < 0 {
		return true
	}
	if d.Next > 0 {
		d.Next--
		return true
	}
	return d.Fraction > 0 && rng.Float64() < d.Fraction
}

// Outage is how a part that is out behaves.
type Outage string

// The forms of an outage.
const (
	OutageNone  Outage = ""
	OutageError Outage = "error" // answers 503, which leaves open what happened
	OutageClose Outage = "close" // closes the connection without answering
	OutageHang  Outage = "hang"  // doesn't answer until the outage ends
)

// Reach says who can reach a part at all.
type NetworkFaults struct {
	Outage Outage `json:"outage"`
	// Blocked names senders, as in the X-Sender header, that are partitioned
	// from the part: they get no answer.
	Blocked []string `json:"blocked"`
}

func (r NetworkFaults) networkFaults() NetworkFaults { return r }

// of returns what a sender meets.
func (r NetworkFaults) outageFor(sender string) Outage {
	if sender != "" && slices.Contains(r.Blocked, sender) {
		return OutageHang
	}
	return r.Outage
}

type networkFaulty interface{ networkFaults() NetworkFaults }

// Crash ends a part's process, as it were: its address refuses connections and
// those that it has break off.
type Crash struct {
	// DownMillis is how long it is gone; -1 means until a later crash fault
	// with 0 is set through the control page.
	DownMillis int `json:"down_ms"`
	// ForgetFence makes an engine lose its fencing number.
	LoseFencingToken bool `json:"forget_fence"`
}

func (c Crash) down() time.Duration { return time.Duration(c.DownMillis) * time.Millisecond }

// switchboard holds the faults of a part. F is the part's own type.
type faultState[F any] struct {
	mu     sync.Mutex
	faults F
	rng    *rand.Rand
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// faultSeed fixes what fractions draw.
const faultSeed = 20

func newFaultState[F any](initial F) *faultState[F] {
	return &faultState[F]{
		faults:  initial,
		rng:     rand.New(rand.NewPCG(faultSeed, faultSeed)),
		changed: make(chan struct{}),
	}
}

// get returns a copy of the faults.
func (s *faultState[F]) get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// watch returns a copy with the channel that closes at the next change.
func (s *faultState[F]) watch() (F, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// set changes the faults in place.
func (s *faultState[F]) set(change func(*F)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	close(s.changed)
	s.changed = make(chan struct{})
}

// take uses up a dose of the fault that pick points to.
func (s *faultState[F]) trigger(pick func(*F) *Trigger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pick(&s.faults).fires(s.rng)
}

// merge sets the fields that a JSON document names and leaves the others.
func (s *faultState[F]) merge(doc []byte) error {
	var err error
	s.set(func(f *F) {
		// Copies handed out before share the old value's slices.
		next := clone(*f)
		d := json.NewDecoder(bytes.NewReader(doc))
		d.DisallowUnknownFields()
		if err = d.Decode(&next); err == nil {
			*f = next
		}
	})
	return err
}

func clone[F any](f F) F {
	var c F
	if err := json.Unmarshal(encode(f), &c); err != nil {
		panic(err)
	}
	return c
}
