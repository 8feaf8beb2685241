// Package machine starts and crashes servers that keep their Ids and addresses.
package machine

import (
	"net"
	"time"

	"tamarackchute/platform/standin"
	"tamarackchute/review/stand-2/site"
)

// Machine is a server's place: its processes have one ID and one address.
type Machine struct {
	Site *site.Site
	// ID is the server's, Service its service, Stage its stage.
	ID, Service, Stage string
	// Events and EventGap are those of its streams.
	Events   int
	EventGap time.Duration
	// Observer is notified of requests; nil does nothing.
	Observer standin.Observer

	address string
	server  *standin.Server
	stop    func()
}

// Start starts a process with a version of the software.
func (m *Machine) Start(version string) error {
	var l net.Listener
	var err error
	if m.address == "" {
		l, err = m.Site.ListenServer()
	} else {
		l, err = net.Listen("tcp", m.address)
	}
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	m.server = standin.NewServerOn(m.ID, l)
	m.server.Born, m.server.Version = time.Now().UnixMilli(), version
	m.server.Events, m.server.EventGap = m.Events, m.EventGap
	if m.Observer != nil {
		m.server.Observer = m.Observer
	}
	m.server.SetStage(m.Stage)
	m.stop = m.Site.Heartbeat(m.server, m.Service)
	m.Site.Logf("server %s starts with version %s at %s", m.ID, version, m.address)
	return nil
}

// Crash ends the process without a word to the store.
func (m *Machine) Crash() {
	m.stop()
	m.server.Close()
	m.Site.Logf("server %s has crashed", m.ID)
}

// Silence makes the process send nothing for a time. Then it goes on.
func (m *Machine) Silence(d time.Duration) { m.server.FallSilent(d) }
