package member

import (
	"time"

	"github.com/thejerf/suture/v4"

	"tamarackchute/internal/wire"
)

// updateLinks opens and closes links after a change of the known peers.
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
			other.outgoingLink = p.openLink(address, func(m wire.Message) { p.handleReply(address, m) })
		case !wanted[address]:
			p.closeLink(&other.outgoingLink)
		}
	}
}

// outgoingLink is a permanent link to another daemon; link is nil if there is none.
type outgoingLink struct {
	link  *wire.Link
	token suture.ServiceToken
}

// handleReply processes a reply of another daemon.
func (p *Peers) handleReply(from string, m wire.Message) {
	switch m := m.(type) {
	case wire.ConfigProofReply:
		p.onConfigProof(from, m)
	case wire.StreamVersions:
		p.onStreamVersions(from, m)
	case wire.UsageAck:
		if p.onUsageAck != nil {
			p.onUsageAck(from, m)
		}
	}
}

// openLink opens a permanent link; handle processes the replies.
func (p *Peers) openLink(address string, handle func(wire.Message)) outgoingLink {
	link := wire.NewLink(p.cfg, address, handle, p.log)
	return outgoingLink{link: link, token: p.links.Add(link)}
}

func (p *Peers) closeLink(o *outgoingLink) {
	if o.link == nil {
		return
	}
	if err := p.links.Remove(o.token); err != nil {
		p.log.Warn("removing a peer's link failed", "link", o.link.String(), "err", err)
	}
	o.link = nil
}
