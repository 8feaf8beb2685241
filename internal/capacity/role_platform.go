package capacity

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tamarackchute/internal/adapters/engineclient"
	"tamarackchute/internal/adapters/httpx"
	"tamarackchute/internal/adapters/listclient"
	"tamarackchute/internal/adapters/logclient"
	"tamarackchute/internal/standin"
	"tamarackchute/upstream"
)

// platformExperiments measure the calls to the platform and to engines, as
// bytes on real connections to the stand-ins. One connection is made before the
// count begins.
func platformExperiments() []Experiment {
	calls := []int{10, 30, 100}
	return []Experiment{
		{
			ID: "list.poll", Unit: Bytes, Per: "row", Method: MethodCounted, Sizes: []int{18, 22, 500, 2000, 8600},
			Measure: measureListPoll,
		},
		{
			ID: "list.decode", Unit: Nanos, Per: "row", Method: MethodCPU, Sizes: []int{18, 22, 500, 2000, 8600},
			Measure: func(n int) (float64, error) {
				d := engineFleet(n)
				d.Instances = nil
				body, err := json.Marshal(listclient.Reply{Instances: listRows(d)})
				if err != nil {
					return 0, err
				}
				ns := cpuOf(func() { err = json.Unmarshal(body, new(listclient.Reply)) })
				return ns, err
			},
		},
		{
			ID: "engine.load", Unit: Bytes, Per: "poll", Method: MethodCounted, Sizes: calls,
			Measure: func(n int) (float64, error) {
				return countEngine(n, func(c *engineclient.Client) error {
					_, err := c.Load(context.Background())
					return err
				})
			},
		},
		{
			ID: "engine.state", Unit: Bytes, Per: "read", Method: MethodCounted, Sizes: calls,
			Measure: func(n int) (float64, error) {
				return countEngine(n, func(c *engineclient.Client) error {
					_, err := c.State(context.Background())
					return err
				})
			},
		},
		{
			ID: "engine.no_events", Unit: Bytes, Per: "poll", Method: MethodCounted, Sizes: calls,
			Measure: func(n int) (float64, error) {
				return countEngine(n, func(c *engineclient.Client) error {
					_, err := c.CacheEvents(context.Background(), 1<<40)
					return err
				})
			},
		},
		{
			ID: "engine.events", Unit: Bytes, Per: "event", Method: MethodEncoded, Sizes: []int{1, 100, 1000},
			Measure: func(n int) (float64, error) { return eventsBytes(cacheEvents(n, 1_000_000)) },
		},
		{
			ID: "log.append", Unit: Bytes, Per: "append", Method: MethodCounted, Sizes: calls, Measure: measureAppend,
		},
		{
			ID: "log.read", Unit: Bytes, Per: "record", Method: MethodCounted, Sizes: []int{1, 10, 100}, Measure: measureRead,
		},
		{
			ID: "log.idle", Unit: Bytes, Per: "poll", Method: MethodCounted, Sizes: []int{3, 10, 30}, Measure: measureIdleRead,
		},
	}
}

// counter dials and counts the bytes of the connections made through it.
type counter struct{ bytes atomic.Int64 }

func (c *counter) dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, c}, nil
}

// options are those of an entry's client, with the counter in place.
func (c *counter) options() httpx.Options {
	return httpx.Options{Dial: c.dial, Sender: "entry-data-centre-0-17/entry"}
}

// countedConn counts both directions.
type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// count returns the bytes of n calls that follow a first one.
func (c *counter) count(n int, call func() error) (float64, error) {
	if err := call(); err != nil {
		return 0, err
	}
	before := c.bytes.Load()
	for range n {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(c.bytes.Load() - before), nil
}

// serving runs a stand-in for the length of a measurement.
func serving(p standin.Part, measure func() (float64, error)) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() { _ = p.Serve(ctx) })
	defer running.Wait()
	defer cancel()
	return measure()
}

const anyPort = "127.0.0.1:0"

// measureListPoll is one answer of a list of n rows.
func measureListPoll(n int) (float64, error) {
	d := engineFleet(n)
	d.Instances = nil
	list, err := standin.NewList(standin.ListConfig{Addr: anyPort, Rows: listRows(d)})
	if err != nil {
		return 0, err
	}
	return serving(list, func() (float64, error) {
		c := &counter{}
		client := listclient.New(list.Addr(), c.options())
		return c.count(1, func() error {
			_, err := client.Instances(context.Background())
			return err
		})
	})
}

func countEngine(n int, call func(*engineclient.Client) error) (float64, error) {
	e, err := standin.NewEngine(standin.EngineConfig{
		Name: engineName(123), Addr: anyPort, Models: []string{model(0)}, Role: upstream.RoleMixed,
		ChecksFencing: true, Speed: standin.DefaultSpeed(),
	})
	if err != nil {
		return 0, err
	}
	return serving(e, func() (float64, error) {
		c := &counter{}
		client := engineclient.New(e.Addr(), c.options())
		defer client.Close()
		return c.count(n, func() error { return call(client) })
	})
}

func newLog() (*standin.Log, error) {
	return standin.NewLog(standin.LogConfig{Addr: anyPort, AppendsPerSecond: 1e6, Retention: time.Hour})
}

// measureAppend is n appends of bodyBytes each; the record is counted too.
func measureAppend(n int) (float64, error) {
	log, err := newLog()
	if err != nil {
		return 0, err
	}
	return serving(log, func() (float64, error) {
		c := &counter{}
		client := logclient.New(log.Addr(), c.options())
		total, err := c.count(n, func() error {
			_, err := client.Append(context.Background(), make([]byte, bodyBytes))
			return err
		})
		return total - float64(n*bodyBytes), err
	})
}

// measureRead is one read of n records, less their data.
func measureRead(n int) (float64, error) {
	log, err := newLog()
	if err != nil {
		return 0, err
	}
	return serving(log, func() (float64, error) {
		c := &counter{}
		client := logclient.New(log.Addr(), c.options())
		for range n {
			if _, err := client.Append(context.Background(), make([]byte, bodyBytes)); err != nil {
				return 0, err
			}
		}
		total, err := c.count(1, func() error {
			_, err := client.Read(context.Background(), 1, n, 0)
			return err
		})
		return total - float64(n*bodyBytes), err
	})
}

// measureIdleRead is n reads that find nothing.
func measureIdleRead(n int) (float64, error) {
	log, err := newLog()
	if err != nil {
		return 0, err
	}
	return serving(log, func() (float64, error) {
		c := &counter{}
		client := logclient.New(log.Addr(), c.options())
		return c.count(n, func() error {
			_, err := client.Read(context.Background(), 1, 1000, time.Millisecond)
			return err
		})
	})
}

// eventsBytes is the body of an engine's answer with these events.
func eventsBytes(events []upstream.CacheEvent) (float64, error) {
	body, err := json.Marshal(engineclient.CacheEventsReply{Events: events})
	return float64(len(body)), err
}
