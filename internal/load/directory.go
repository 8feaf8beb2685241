package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// directory caches the addresses that an instance told a caller to use, for as long as the
// instance allowed.
type directory struct {
	client *http.Client
	now    func() time.Time
	// seeds are addresses that the caller is configured with.
	seeds []string

	mu      sync.Mutex
	cached  []string
	expires time.Time
}

// locationResponse is an instance's list of addresses to use.
type locationResponse struct {
	Addresses   []locationAddress `json:"addresses"`
	KeepSeconds float64           `json:"keep_s"`
}

type locationAddress struct {
	Address string `json:"address"`
}

// locationPath is where an instance lists the addresses that callers are to use.
const locationPath = "/v1/where"

// lookupTimeout bounds one query.
const lookupTimeout = 2 * time.Second

// addresses returns the addresses to use, best first. It queries again once the last answer has
// expired. While no instance answers, it returns the expired addresses and the seeds.
func (d *directory) addresses(ctx context.Context) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now().Before(d.expires) {
		return d.cached
	}
	for _, addr := range append(append([]string(nil), d.cached...), d.seeds...) {
		answer, err := d.query(ctx, addr)
		if err != nil {
			continue
		}
		d.cached = d.cached[:0:0]
		for _, a := range answer.Addresses {
			d.cached = append(d.cached, a.Address)
		}
		d.expires = d.now().Add(time.Duration(answer.KeepSeconds * float64(time.Second)))
		return d.cached
	}
	return append(append([]string(nil), d.cached...), d.seeds...)
}

func (d *directory) query(ctx context.Context, addr string) (locationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+locationPath, nil)
	if err != nil {
		return locationResponse{}, eris.Wrap(err, "address lookup")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return locationResponse{}, eris.Wrap(err, "address lookup")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return locationResponse{}, eris.Errorf("address lookup: status %d", resp.StatusCode)
	}
	var answer locationResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return locationResponse{}, eris.Wrap(err, "address lookup")
	}
	if len(answer.Addresses) == 0 {
		return locationResponse{}, eris.New("address lookup: no address in the response")
	}
	return answer, nil
}
