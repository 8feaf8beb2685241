package capacity

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"tamarackchute/internal/wire"
	"tamarackchute/membership"
)

// wireExperiments measure the messages between the system's processes: bytes on
// a real connection through the relay, processor time of both ends together.
func wireExperiments() []Experiment {
	counts := []int{100, 300, 1000}
	d := tenthFleet(170)
	beat := wire.Heartbeat{Heartbeat: membership.Heartbeat{From: d.Instances[0].Name, Incarnation: 1_790_000_000_000, Seq: 70_000}}
	ack := wire.StatusAck{At: time.Now()}
	return []Experiment{
		wireBytes("wire.heartbeat", "heartbeat", counts, func(int) (wire.Message, int) { return beat, 0 }),
		wireCPU("wire.heartbeat", "heartbeat", counts, beat),
		wireBytes("wire.ack", "ack", counts, func(int) (wire.Message, int) { return ack, 0 }),
		wireCPU("wire.status", "status", counts, entryStatus(d.Instances[0], 70_000, inFlightPerEntry)),
		wireBytes("wire.status", "engine", []int{0, 11, 100, 460}, func(busy int) (wire.Message, int) {
			return entryStatus(d.Instances[0], 70_000, busy), 1
		}),
		wireBytes("wire.summary", "member", []int{1, 2, 20, 170}, func(members int) (wire.Message, int) {
			return wire.Summary{Summary: summaryOf(tenthFleet(members))}, 1
		}),
		wireCPU("wire.summary170", "summary", []int{30, 100, 300}, wire.Summary{Summary: summaryOf(d)}),
		{
			ID: "wire.link", Unit: Bytes, Per: "link", Method: MethodHeap, Sizes: []int{10, 50, 169}, Measure: measureLinks,
		},
	}
}

// wireBytes counts messages on a connection. make returns the message for a
// size, and how many of it are sent; 0 stands for the size.
func wireBytes(id, per string, sizes []int, message func(size int) (wire.Message, int)) Experiment {
	return Experiment{
		ID: id, Unit: Bytes, Per: per, Method: MethodCounted, Sizes: sizes,
		Measure: func(size int) (float64, error) {
			m, count := message(size)
			if count == 0 {
				count = size
			}
			p, err := newWirePair(true)
			if err != nil {
				return 0, err
			}
			defer p.close()
			// The first message comes after the handshake, which isn't counted.
			p.send(m, 1)
			before := p.relay.bytes.Load()
			p.send(m, count)
			return float64(p.relay.bytes.Load() - before), nil
		},
	}
}

func wireCPU(id, per string, sizes []int, m wire.Message) Experiment {
	return Experiment{
		ID: id, Unit: Nanos, Per: per, Method: MethodCPU, Sizes: sizes,
		Measure: func(size int) (float64, error) {
			p, err := newWirePair(false)
			if err != nil {
				return 0, err
			}
			defer p.close()
			p.send(m, 1)
			return cpuOnce(func() { p.send(m, size) }), nil
		},
	}
}

// wirePair is a link to a server, with a relay between them if bytes count.
type wirePair struct {
	relay    *relay
	link     *wire.Link
	received chan struct{}
	cancel   context.CancelFunc
	running  conc.WaitGroup
}

func wireConfig() wire.Config {
	return wire.Config{Name: "entry-data-centre-0-17/entry", Secret: []byte("0123456789abcdef0123456789abcdef")}
}

func newWirePair(counted bool) (*wirePair, error) {
	p := &wirePair{received: make(chan struct{}, 1)}
	quiet := slog.New(slog.DiscardHandler)
	take := wire.HandlerFunc(func(string, wire.Message, func(wire.Message)) { p.received <- struct{}{} })
	server := wire.NewServer(wireConfig(), "127.0.0.1:0", take, quiet)
	if err := server.Bind(); err != nil {
		return nil, err
	}
	address := server.Addr().String()
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	if counted {
		var err error
		if p.relay, err = newRelay(address); err != nil {
			return nil, err
		}
		address = p.relay.addr()
		p.running.Go(func() { _ = p.relay.Serve(ctx) })
	}
	p.link = wire.NewLink(wireConfig(), address, nil, quiet)
	p.running.Go(func() { _ = server.Serve(ctx) })
	p.running.Go(func() { _ = p.link.Serve(ctx) })
	return p, nil
}

// send sends a message so many times, each after the former has arrived: a link
// keeps only the newest ones that wait.
func (p *wirePair) send(m wire.Message, n int) {
	for range n {
		p.link.Send(m)
		<-p.received
	}
}

func (p *wirePair) close() {
	p.cancel()
	p.running.Wait()
}

// measureLinks is what n connections to peers hold, both ends together.
func measureLinks(n int) (float64, error) {
	var pairs []*wirePair
	var err error
	bytes := heapOnce(func() any {
		for range n {
			p, e := newWirePair(false)
			if e != nil {
				err = eris.Wrap(e, "wire pair")
				break
			}
			p.send(wire.StatusAck{}, 1)
			pairs = append(pairs, p)
		}
		return pairs
	})
	for _, p := range pairs {
		p.close()
	}
	return bytes, err
}
