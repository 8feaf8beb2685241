package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"tamarackchute/platform/standin"
)

const (
	// From cutNotice after daemons have lost their path to all servers, they must serve servedShare of
	// what the others serve, unless no more fail there than cutSlack and cutSlackShare of all requests.
	cutNotice     = 3 * time.Second
	servedShare   = 2.0 / 3
	cutSlack      = 10
	cutSlackShare = 1.0 / 50
	// cutWindow is how long a cut lasts beyond cutNotice, at least.
	cutWindow = 2 * time.Second
	// askInterval is the time between two requests to a daemon from cutNotice on.
	askInterval = 60 * time.Millisecond
	// A server falls silent for minSilence to twice maxExtraSilence longer.
	minSilence      = time.Second
	maxExtraSilence = 500 * time.Millisecond
)

// pathModes are the ways in which daemons lose their path to the servers.
var pathModes = []Mode{ModeStall, ModeStallReplies, ModeReset, ModeResetNew}

// pathSubject names a daemon's path to the servers.
func pathSubject(daemon int) string { return fmt.Sprintf("path %d", daemon) }

// pathCut is a step in which daemons have no path to any server.
type pathCut struct {
	daemons map[int]bool
	// withPath are the daemons that the step leaves their paths.
	withPath []int
	from     time.Time
	// cut and others count the requests to the daemons with and without the cut.
	cut, others servedCount
}

type servedCount struct{ sent, served int }

func (c servedCount) share() float64 { return float64(c.served) / max(1, float64(c.sent)) }

// cutPaths takes their path to all servers away from some daemons: up to all but one.
func (s *site) cutPaths(step Step) {
	n := 1 + step.Variant/len(pathModes)%(len(s.daemons)-1)
	mode := pathModes[step.Variant%len(pathModes)]
	cut := &pathCut{daemons: make(map[int]bool), from: time.Now()}
	for i := range n {
		d := s.daemons[(step.Target+i)%len(s.daemons)]
		cut.daemons[d.number] = true
		defer time.AfterFunc(cutNotice, s.faults.begin(pathSubject(d.number)))
		s.setPath(d, mode)
	}
	for i := n; i < len(s.daemons); i++ {
		cut.withPath = append(cut.withPath, (step.Target+i)%len(s.daemons))
	}
	s.oracle.pathsCut(cut)
	time.Sleep(cutNotice)
	s.askAllDaemons(fmt.Sprintf("cut-%d-%d", step.Target, step.Variant), cutWindow+step.For)
	s.oracle.pathsHealed(cut)
	for number := range cut.daemons {
		s.setPath(s.daemons[number], ModePass)
	}
}

// askAllDaemons sends requests to each daemon for a while: most callers are no longer sent to daemons
// without a path, but some keep a directory's answer.
func (s *site) askAllDaemons(name string, duration time.Duration) {
	until := time.Now().Add(duration)
	var callers conc.WaitGroup
	for _, d := range s.daemons {
		callers.Go(func() {
			var sends conc.WaitGroup
			for i := 0; time.Now().Before(until); i++ {
				sends.Go(func() { s.askDaemon(d, services[i%len(services)], fmt.Sprintf("%s-%d-%d", name, d.number, i)) })
				time.Sleep(askInterval)
			}
			sends.Wait()
		})
	}
	callers.Wait()
}

// askDaemon sends one request to a daemon on a connection of its own.
func (s *site) askDaemon(d *daemon, v service, id string) standin.Reply {
	return s.askDaemonBy(standin.NewCaller(), d, v, id, func() {})
}

// askDaemonBy sends a request of a caller to a daemon, and calls prepare once the oracle knows of it.
func (s *site) askDaemonBy(client *standin.Caller, d *daemon, v service, id string, prepare func()) standin.Reply {
	return s.askDaemonWith(client, s.keyFor(d.number%organisations, false), d, v, id, prepare)
}

// askDaemonWith is askDaemonBy with a key.
func (s *site) askDaemonWith(client *standin.Caller, key *accessKey, d *daemon, v service, id string, prepare func()) standin.Reply {
	defer client.Close()
	client.Key = key.text
	launch := d.currentLaunch()
	s.oracle.sent(id, v, key, d.number)
	prepare()
	ctx, cancel := context.WithTimeout(context.Background(), v.deadline+callerTimeoutSlack)
	defer cancel()
	reply := client.Send(ctx, d.config.Callers(), v.name, id, v.deadline, v.stream, func() {})
	s.oracle.answered(id, launch, reply)
	if reply.Err != nil && !nothingSent(reply.Err) {
		s.checkLostConnection(d, launch, id, reply)
	}
	return reply
}

// setPath sets the mode of a daemon's links to all servers.
func (s *site) setPath(d *daemon, mode Mode) {
	s.mu.Lock()
	links := s.serverLinks
	s.mu.Unlock()
	for _, link := range links {
		link.SetModeFor(d.config.IP, mode)
	}
}

// silenceServer makes a sound server fall silent for a moment.
func (s *site) silenceServer(slot *serverSlot, step Step) {
	silence := minSilence + time.Duration(step.Target)*time.Millisecond%maxExtraSilence
	s.disturbServerLink(slot, ModeStall, silence)
}

func (o *oracle) pathsCut(c *pathCut) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["paths cut"] += len(c.daemons)
	o.cuts[c] = true
}

// recordCut counts a request's end in the cuts of its time. Those at the daemons of a cut count while
// another daemon has a path and is in touch: without one, nobody could serve them.
func (o *oracle) recordCut(q *request, r standin.Reply, now time.Time) {
	for c := range o.cuts {
		if q.sentAt.Before(c.from.Add(cutNotice)) || q.lethal != "" || !q.key.removedAt.IsZero() || !o.inTouch(q.daemon, q, now) {
			continue
		}
		serves := func(daemon int) bool {
			return o.inTouch(daemon, q, now) && o.faults.undisturbed(q.sentAt.Add(-cutNotice), now, pathSubject(daemon))
		}
		var count *servedCount
		switch {
		case c.daemons[q.daemon] && slices.ContainsFunc(c.withPath, serves):
			count = &c.cut
		case !c.daemons[q.daemon] && serves(q.daemon):
			count = &c.others
		default:
			continue
		}
		count.sent++
		if r.Status == http.StatusOK && r.Err == nil {
			count.served++
		}
	}
}

// inTouch reports whether a daemon was undisturbed during a request, but for its path to servers. One
// that is being stopped isn't: it serves its own callers, but isn't asked by others.
func (o *oracle) inTouch(daemon int, q *request, now time.Time) bool {
	return o.faults.undisturbed(q.sentAt.Add(-cutNotice), now, subjectMachine, subjectStore,
		daemonSubject(daemon), stopSubject(daemon), pauseSubject(daemon), storeLinkSubject(daemon))
}

// pathsHealed checks what the daemons without a path have served.
func (o *oracle) pathsHealed(c *pathCut) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.cuts, c)
	o.counts["requests to cut daemons"] += c.cut.sent
	failed := c.cut.sent - c.cut.served
	if failed > cutSlack+int(cutSlackShare*float64(c.cut.sent+c.others.sent)) && c.cut.share() < servedShare*c.others.share() {
		o.violate(CutDaemonsServe, "%d daemons without a path served %d of %d requests, the others %d of %d",
			len(c.daemons), c.cut.served, c.cut.sent, c.others.served, c.others.sent)
	}
}

// listenTCP listens without Multipath TCP, whose sockets take no filters.
func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// dropPacketsFrom makes the kernel drop all packets to a listener, and to the connections that it
// accepts from now on, that come from the given IPv4 addresses: attempts to connect hang.
func dropPacketsFrom(l net.Listener, ips []string) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	// A filter sees the network header from networkHeader on.
	const networkHeader, sourceOffset, pass = 0xfff00000, 12, 0xffffffff
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkHeader + sourceOffset}}
	for _, ip := range ips {
		address := binary.BigEndian.Uint32(net.ParseIP(ip).To4())
		program = append(program, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: address}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K})
	}
	program = append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: pass})
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil {
		return err
	}
	return failed
}
