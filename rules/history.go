package rules

// Limits of what a replica keeps of past publications.
const (
	maxHistory       = 100
	maxHistoryBytes  = 4 << 20
	maxKnownVerdicts = 1000
)

// history keeps the latest verdicts, and the newest of their documents up to
// maxHistoryBytes.
type history struct {
	verdicts []Verdict // oldest first
	bytes    int
}

func (h *history) add(v Verdict) {
	h.verdicts = append(h.verdicts, v)
	h.bytes += len(v.Document)
	if len(h.verdicts) > maxHistory {
		h.bytes -= len(h.verdicts[0].Document)
		h.verdicts = append([]Verdict(nil), h.verdicts[1:]...)
	}
	for i := 0; h.bytes > maxHistoryBytes; i++ {
		h.bytes -= len(h.verdicts[i].Document)
		h.verdicts[i].Document = nil
	}
}

func (h *history) list() []Verdict {
	list := make([]Verdict, 0, len(h.verdicts))
	for i := len(h.verdicts) - 1; i >= 0; i-- {
		list = append(list, h.verdicts[i])
	}
	return list
}

// verdictCache indexes the latest verdicts by publication ID.
type verdictCache struct {
	byID  map[string]Verdict
	order []string
}

// put keeps the first verdict on an ID; later copies of a publication are ignored.
func (c *verdictCache) put(v Verdict) {
	if c.byID == nil {
		c.byID = map[string]Verdict{}
	}
	if _, known := c.byID[v.ID]; known {
		return
	}
	v.Document = nil
	c.byID[v.ID] = v
	c.order = append(c.order, v.ID)
	if len(c.order) > maxKnownVerdicts {
		delete(c.byID, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *verdictCache) get(id string) (Verdict, bool) {
	v, ok := c.byID[id]
	return v, ok
}
