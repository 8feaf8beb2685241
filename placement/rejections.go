package placement

// Rejections counts the available engines of a pool at which a request can't be placed, by the first reason that applies.
type Rejections struct {
	// Excluded ones don't suit the request, Full ones have no free slot, Unmeasured ones have a pending prefill whose
	// length isn't known, and Undecodable ones only prefill, while no engine can decode for them.
	Excluded, Full, Unmeasured, Undecodable int
	// Busy ones have no capacity that they leave to late requests.
	Busy int
	// LateShareTaken says that as many engines prefill for late requests as may.
	LateShareTaken bool
}

// Rejections returns why a request isn't placed in a pool.
func (tr *Tracker) Rejections(pool string, r Request) Rejections {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.searchIn(pool, healthy)
	s.prepare(r)
	j := Rejections{LateShareTaken: r.Late && !hasLateCapacity(s.engines)}
	for i := range s.engines {
		j.add(s, &s.engines[i], r)
	}
	return j
}

func (j *Rejections) add(s *search, e *Engine, r Request) {
	switch {
	case excluded(e, r):
		j.Excluded++
		return
	case full(e, r):
		j.Full++
		return
	case unmeasured(e):
		j.Unmeasured++
		return
	}
	p, _, _, fits := s.consider(e, r)
	switch {
	case !fits:
		j.Undecodable++
	case r.Late && (j.LateShareTaken || delaysOthers(e, p, r)):
		j.Busy++
	}
}
