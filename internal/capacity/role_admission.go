package capacity

import (
	"fmt"
	"time"

	"tamarackchute/admission"
)

// admissionExperiments measure the queue and the shares of organisations.
func admissionExperiments() []Experiment {
	return []Experiment{
		{
			ID: "admission.waiting", Unit: Bytes, Per: "request", Method: MethodHeap, Sizes: []int{100, 1000, 4000},
			Measure: func(n int) (float64, error) {
				return heapOf(func() any {
					c, waiting := fullController(n, n)
					return []any{c, waiting}
				}), nil
			},
		},
		{
			ID: "admission.organisations", Unit: Bytes, Per: "organisation", Method: MethodHeap,
			Sizes: []int{100, 1000, 4096}, Measure: measureOrganisations,
		},
		{
			ID: "admission.limits", Unit: Bytes, Per: "organisation", Method: MethodHeap,
			Sizes: []int{100, 1000, 4096}, Measure: measureLimits,
		},
		{
			ID: "admission.acquire", Unit: Nanos, Per: "organisation", Method: MethodCPU,
			Sizes: []int{10, 1000, 4096, 47_000}, Measure: measureAcquire,
		},
		{
			ID: "admission.sweep", Unit: Nanos, Per: "waiting", Method: MethodCPU, Sizes: []int{100, 1000, 4000},
			Measure: func(n int) (float64, error) {
				c, _ := fullController(n, n)
				return cpuOf(c.Sweep), nil
			},
		},
	}
}

func organisation(i int) string { return fmt.Sprintf("organisation-%d", i) }

// admitted is a request of usual length that need not wait.
func admitted(org string) admission.Request {
	return admission.Request{
		Pool: enginePool, Model: model(0), Organisation: org, PromptTokens: promptTokens, OutputTokens: outputTokens,
		Deadline: time.Now().Add(time.Hour),
		Estimate: admission.Estimate{FirstToken: 200 * time.Millisecond, Complete: 10 * time.Second},
	}
}

// newAdmission is a controller whose engines leave an entry so many seconds of
// work on its way.
func newAdmission(engines, entries int) *admission.Controller {
	cfg := admission.DefaultConfig()
	cfg.MaxQueued = 1 << 16
	c := admission.New(cfg, nil)
	c.SetCapacity(enginePool, model(0), admission.Capacity{
		Engines: engines, Entries: entries, PrefillPerSecond: 5e7, DecodePerSecond: 5e6,
	})
	return c
}

// openController admits what comes.
func openController() *admission.Controller { return newAdmission(1150, 1) }

// fullController holds n waiting requests of so many organisations, beside one
// that is on its way and closes the window.
func fullController(n, organisations int) (*admission.Controller, []*admission.Pending) {
	c := newAdmission(1, 1000)
	var waiting []*admission.Pending
	for i := range n + 1 {
		p, err := c.Submit(admitted(organisation(i % organisations)))
		if err != nil {
			panic(err) // the deadline is an hour off and the queue has room
		}
		waiting = append(waiting, p)
	}
	if c.Counts().Waiting != n {
		panic("capacity: requests don't wait")
	}
	return c, waiting
}

// serve takes a request through admission.
func serve(c *admission.Controller, r admission.Request) error {
	p, err := c.Submit(r)
	if err != nil {
		return err
	}
	g, ok, err := p.Poll()
	if err != nil || !ok {
		return fmt.Errorf("request wasn't admitted at once: %w", err)
	}
	g.FirstToken()
	g.Release(admission.ResultDone, outputTokens)
	return nil
}

// measureOrganisations is what is remembered of n organisations that were
// served one after the other while others waited.
func measureOrganisations(n int) (float64, error) {
	var err error
	bytes := heapOf(func() any {
		c, waiting := fullController(n, n)
		for _, p := range waiting {
			g, ok, e := p.Poll()
			if !ok || e != nil {
				err = fmt.Errorf("request didn't start in its turn: %w", e)
				break
			}
			g.FirstToken()
			g.Release(admission.ResultDone, outputTokens)
		}
		return c
	})
	return bytes, err
}

// measureLimits is what a rule with a rate for each organisation keeps of n.
func measureLimits(n int) (float64, error) {
	var err error
	bytes := heapOf(func() any {
		c := openController()
		for i := range n {
			r := admitted(organisation(i))
			r.Limits = []admission.Limit{{Rule: "rule", RequestsPerSecond: 10, PerOrganisation: true}}
			if e := serve(c, r); e != nil {
				err = e
			}
		}
		return c
	})
	return bytes, err
}

// measureAcquire is one request of an organisation out of n.
func measureAcquire(n int) (float64, error) {
	c := openController()
	requests := make([]admission.Request, n)
	for i := range requests {
		requests[i] = admitted(organisation(i))
	}
	var err error
	at := 0
	ns := cpuOf(func() {
		if e := serve(c, requests[at%n]); e != nil {
			err = e
		}
		at++
	})
	return ns, err
}
