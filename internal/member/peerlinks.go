package member

import (
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
)

// relink opens and closes connections after a change of the known peers.
func (p *Peers) updateLinks() {
	addresses := make([]wire.MemberAddress, 0, len(p.peers))
	for _, other := range p.peers {
		addresses = append(addresses, other.MemberAddress)
	}
	wanted := neighbours(p.self, addresses)
	p.fullMesh = len(wanted) == len(addresses)
	if p.fullMesh {
		p.stopAggregation()
	} else {
		p.updateCandidates(addresses, time.Now())
	}
	for address, other := range p.peers {
		switch {
		case wanted[address] && other.link == nil:
			other.outgoingLink = p.openLink(address, nil)
		case !wanted[address]:
			p.closeLink(&other.outgoingLink)
		}
	}
}

// outgoing is a connection to another daemon that is kept up; link is nil if there is
// none.
type outgoingLink struct {
	link  *wire.Link
	token suture.ServiceToken
}

// open begins to keep up a connection; handle takes what comes back, if anything.
func (p *Peers) openLink(address string, handle func(wire.Message)) outgoingLink {
	link := wire.NewLink(p.cfg, address, handle, p.log)
	return outgoingLink{link: link, token: p.links.Add(link)}
}

func (p *Peers) closeLink(o *outgoingLink) {
	if o.link == nil {
		return
	}
	if err := p.links.Remove(o.token); err != nil {
		p.log.Warn("peer's link not removed", "link", o.link.String(), "err", err)
	}
	o.link = nil
}
