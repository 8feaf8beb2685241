package standin

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Trigger decides which events a fault affects.
type Trigger struct {
	// Next is the number of upcoming events that are affected; -1 means all.
	Next int `json:"next"`
	// Fraction of the events after those is affected, drawn with a fixed seed.
	Fraction float64 `json:"fraction"`
}

func (t *Trigger) fires(rng *rand.Rand) bool {
	if t.Next < 0 {
		return true
	}
	if t.Next > 0 {
		t.Next--
		return true
	}
	return t.Fraction > 0 && rng.Float64() < t.Fraction
}

// Outage says how a component behaves during an outage.
type Outage string

// Kinds of outage.
const (
	OutageNone  Outage = ""
	OutageError Outage = "error" // answers 503, which doesn't say whether the request ran
	OutageClose Outage = "close" // closes the connection without a response
	OutageHang  Outage = "hang"  // doesn't respond until the outage ends
)

// NetworkFaults says which senders can reach a component.
type NetworkFaults struct {
	Outage Outage `json:"outage"`
	// Blocked names senders, as in the X-Sender header, that are partitioned from the
	// component and get no response.
	Blocked []string `json:"blocked"`
}

func (n NetworkFaults) networkFaults() NetworkFaults { return n }

// outageFor returns the outage that a sender sees.
func (n NetworkFaults) outageFor(sender string) Outage {
	if sender != "" && slices.Contains(n.Blocked, sender) {
		return OutageHang
	}
	return n.Outage
}

type networkFaulty interface{ networkFaults() NetworkFaults }

// Crash simulates the end of a component's process: its open connections are reset and new
// ones refused.
type Crash struct {
	// DownMillis is the downtime; -1 means until another crash with a downtime of 0 is set
	// through the control API.
	DownMillis int `json:"down_ms"`
	// LoseFencingToken makes an engine lose its fencing token.
	LoseFencingToken bool `json:"forget_fence"`
}

func (c Crash) down() time.Duration { return time.Duration(c.DownMillis) * time.Millisecond }

// faultState holds the current faults of a component. F is the component's fault type.
type faultState[F any] struct {
	mu     sync.Mutex
	faults F
	rng    *rand.Rand
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// faultSeed makes the draws for Trigger.Fraction reproducible.
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

// watch returns a copy of the faults and a channel that is closed at the next change.
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

// trigger reports whether the fault that pick selects affects this event, and counts the
// event.
func (s *faultState[F]) trigger(pick func(*F) *Trigger) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pick(&s.faults).fires(s.rng)
}

// merge sets the fields that a JSON document contains and keeps the others.
func (s *faultState[F]) merge(doc []byte) error {
	var err error
	s.set(func(f *F) {
		// Copies returned earlier share the slices of the old value.
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
