package member

import (
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
)

// relink opens and closes connections after a change of the known peers.
func (p *Peers) relink() {
	addresses := make([]wire.MemberAddress, 0, len(p.peers))
	for _, other := range p.peers {
		addresses = append(addresses, other.MemberAddress)
	}
	wanted := neighbours(p.self, addresses)
	p.full = len(wanted) == len(addresses)
	if p.full {
		p.endCollecting()
	} else {
		p.relineCollectors(addresses, time.Now())
	}
	for address, other := range p.peers {
		switch {
		case wanted[address] && other.link == nil:
			other.outgoing = p.open(address, nil)
		case !wanted[address]:
			p.shut(&other.outgoing)
		}
	}
}

// outgoing is a connection to another daemon that is kept up; link is nil if there is
// none.
type outgoing struct {
	link  *wire.Link
	token suture.ServiceToken
}

// open begins to keep up a connection; handle takes what comes back, if anything.
func (p *Peers) open(address string, handle func(wire.Message)) outgoing {
	link := wire.NewLink(p.cfg, address, handle, p.log)
	return outgoing{link: link, token: p.links.Add(link)}
}

func (p *Peers) shut(o *outgoing) {
	if o.link == nil {
		return
	}
	if err := p.links.Remove(o.token); err != nil {
		p.log.Warn("peer's link not removed", "link", o.link.String(), "err", err)
	}
	o.link = nil
}
