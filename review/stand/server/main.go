// Command server stands in for a plain server of the users' platform: it runs requests for a while and
// prints the ID of each that it runs.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func main() {
	id := flag.String("id", "", "the server's `ID`")
	listen := flag.String("listen", "127.0.0.1:0", "`address`")
	work := flag.Duration("work", 60*time.Millisecond, "time that a request takes")
	slots := flag.Int("slots", 6, "requests that run at a time")
	queue := flag.Int("queue", 24, "requests that wait")
	deadly := flag.String("deadly", "", "`path` of a request that crashes the server")
	flag.Parse()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		log.Fatal(err)
	}
	s := &server{id: *id, work: *work, deadly: *deadly, slots: make(chan struct{}, *slots), waiting: make(chan struct{}, *slots+*queue)}
	s.print("listens " + l.Addr().String())
	go s.obey()
	log.Fatal(http.Serve(l, s))
}

// obey reads commands: "lose SHARE" makes the server run requests and lose the answers of a share of them, by a
// reset of the connection.
func (s *server) obey() {
	commands := bufio.NewScanner(os.Stdin)
	for commands.Scan() {
		var share float64
		if _, err := fmt.Sscanf(commands.Text(), "lose %g", &share); err == nil {
			s.lose.Store(int64(share * 1000))
		}
	}
	os.Exit(0) // who started it has ended
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

type server struct {
	id      string
	work    time.Duration
	deadly  string
	slots   chan struct{}
	waiting chan struct{}
	// lose is the share of the answers that get lost, in thousandths.
	lose atomic.Int64
	mu   sync.Mutex
}

func (s *server) print(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintln(os.Stdout, line)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.waiting <- struct{}{}:
		defer func() { <-s.waiting }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.print("run " + request)
	if s.deadly != "" && r.URL.Path == s.deadly {
		s.print("crashes by " + request + " for " + r.Host)
		os.Exit(2)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if rand.Int64N(1000) < s.lose.Load() {
		s.print("lost " + request)
		reset(w)
		return
	}
	w.Header().Set("X-Server-Stamp", s.id+"."+request)
	_, _ = fmt.Fprintf(w, "%s answers %s %s %s", s.id, r.Method, r.RequestURI, body)
}
