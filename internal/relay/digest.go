package relay

import "tamarackchute/quarantine"

// Digest returns the digest by which equal requests are recognised. It covers what an upstream
// runs and who asked for it, not what differs with each attempt.
func (c *call) Digest() quarantine.Digest {
	if c.digest == (quarantine.Digest{}) {
		c.digest = quarantine.DigestOf(c.digestScope(), c.in.RequestURI, c.body)
	}
	return c.digest
}

func (c *call) digestScope() string { return c.in.Method + " " + c.identity.organisation }
