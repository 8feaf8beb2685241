package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// directory is one caller's knowledge of where to connect: the addresses that
// an instance named, kept for as long as it allowed.
type directory struct {
	client *http.Client
	now    func() time.Time
	// seeds are addresses that the caller was given once.
	seeds []string

	mu      sync.Mutex
	known   []string
	expires time.Time
}

// where is an instance's answer to the question where to connect.
type where struct {
	Addresses   []whereAddress `json:"addresses"`
	KeepSeconds float64        `json:"keep_s"`
}

type whereAddress struct {
	Address string `json:"address"`
}

// pathWhere is where an instance tells callers which addresses to use.
const pathWhere = "/v1/where"

// lookupTimeout bounds one question where to connect.
const lookupTimeout = 2 * time.Second

// addresses returns the addresses to use, best first. It asks again once the
// last answer has run out. While nobody answers, the old answer and the first
// addresses serve on.
func (d *directory) addresses(ctx context.Context) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.now().Before(d.expires) {
		return d.known
	}
	for _, addr := range append(append([]string(nil), d.known...), d.seeds...) {
		answer, err := d.ask(ctx, addr)
		if err != nil {
			continue
		}
		d.known = d.known[:0:0]
		for _, a := range answer.Addresses {
			d.known = append(d.known, a.Address)
		}
		d.expires = d.now().Add(time.Duration(answer.KeepSeconds * float64(time.Second)))
		return d.known
	}
	return append(append([]string(nil), d.known...), d.seeds...)
}

func (d *directory) ask(ctx context.Context, addr string) (where, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+pathWhere, nil)
	if err != nil {
		return where{}, eris.Wrap(err, "where to connect")
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return where{}, eris.Wrap(err, "where to connect")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return where{}, eris.Errorf("where to connect: status %d", resp.StatusCode)
	}
	var w where
	if err := json.NewDecoder(resp.Body).Decode(&w); err != nil {
		return where{}, eris.Wrap(err, "where to connect")
	}
	if len(w.Addresses) == 0 {
		return where{}, eris.New("where to connect: no address in the answer")
	}
	return w, nil
}
