package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
)

// Counted is what the stand-ins counted, which is how a run knows what the
// system did to its upstreams, not what it says it did.
type Counters struct {
	Tokens            int64 `json:"tokens"`
	CutByOrder        int64 `json:"cut_by_order"`
	CutByCrash        int64 `json:"cut_by_crash"`
	RoleChanges       int64 `json:"role_changes"`
	ConflictingOrders int64 `json:"conflicting_orders"`
	WorkAfterLeaving  int64 `json:"work_after_leaving"`
	Keys              int64 `json:"keys"`
	RanTwice          int64 `json:"ran_twice"`
}

func (c *Counters) add(o Counters) {
	c.Tokens += o.Tokens
	c.CutByOrder += o.CutByOrder
	c.CutByCrash += o.CutByCrash
	c.RoleChanges += o.RoleChanges
	c.ConflictingOrders += o.ConflictingOrders
	c.WorkAfterLeaving += o.WorkAfterLeaving
	// Services of one process share their count of keys.
	c.Keys = max(c.Keys, o.Keys)
	c.RanTwice = max(c.RanTwice, o.RanTwice)
}

// minus is what was counted since.
func (c Counters) minus(before Counters) Counters {
	return Counters{
		Tokens:            c.Tokens - before.Tokens,
		CutByOrder:        c.CutByOrder - before.CutByOrder,
		CutByCrash:        c.CutByCrash - before.CutByCrash,
		RoleChanges:       c.RoleChanges - before.RoleChanges,
		ConflictingOrders: c.ConflictingOrders - before.ConflictingOrders,
		WorkAfterLeaving:  c.WorkAfterLeaving - before.WorkAfterLeaving,
		Keys:              c.Keys - before.Keys,
		RanTwice:          c.RanTwice - before.RanTwice,
	}
}

// Standins reads the stand-ins' counters and sets their faults.
type Standins struct {
	Client *http.Client
	// Control is the address of the page for all parts, which answers for a
	// crashed part too; if it is empty, each upstream is asked at its own.
	Control   string
	Upstreams []settings.Upstream
}

// Counted sums the counters of all upstreams.
func (s Standins) Counters(ctx context.Context) (Counters, error) {
	var sum Counters
	if s.Control != "" {
		err := s.get(ctx, "http://"+s.Control+"/totals", &sum)
		return sum, err
	}
	for _, u := range s.Upstreams {
		var one Counters
		if err := s.get(ctx, "http://"+u.Address+"/counters", &one); err != nil {
			return sum, err
		}
		sum.add(one)
	}
	return sum, nil
}

func (s Standins) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "counters")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return eris.Wrap(err, "counters")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("counters: status %d of %s", resp.StatusCode, url)
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "counters")
}

// SetFaults sets faults of one part, named in the stand-ins' own form. It
// needs the control page.
func (s Standins) SetFaults(ctx context.Context, part string, faults []byte) error {
	url := "http://" + s.Control + "/parts/" + part + "/faults"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(faults))
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	resp, err := s.Client.Do(req)
	if err != nil {
		return eris.Wrap(err, "faults")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("faults: status %d for %s", resp.StatusCode, part)
	}
	return nil
}
