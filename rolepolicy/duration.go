package rolepolicy

import "time"

// durations measures how long changes take from the decision until the engine is
// back in service. That includes the drain, which lasts as long as the responses
// in flight and so can't be configured.
type durations struct {
	begun map[string]time.Time
	mean  time.Duration
}

// newestDuration is the weight of the newest change in the mean.
const newestDuration = 0.3

func newDurations(prior time.Duration) durations {
	return durations{begun: map[string]time.Time{}, mean: prior}
}

// observe records which engines are changing.
func (d *durations) observe(engines []Engine, now time.Time) {
	present := make(map[string]bool, len(engines))
	for _, e := range engines {
		present[e.Name] = true
		since, known := d.begun[e.Name]
		switch {
		case e.Changing && !known:
			d.begun[e.Name] = now
		case !e.Changing && known:
			d.mean += time.Duration(newestDuration * float64(now.Sub(since)-d.mean))
			delete(d.begun, e.Name)
		}
	}
	for name := range d.begun {
		if !present[name] {
			delete(d.begun, name)
		}
	}
}
