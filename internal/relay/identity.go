package relay

import (
	"errors"
	"net/http"

	"tamarackchute/apikey"
	"tamarackchute/internal/fleet"
)

// identity is on whose behalf a request is sent.
type identity struct {
	// organisation is empty if the configuration has no organisations, or the request is for a
	// public rule and carries no valid key.
	organisation string
	// priority replaces the rule's if it isn't nil.
	priority *int
	// keyed says that the configuration has organisations: their keys must not reach upstreams.
	keyed bool
}

var errIdentityChanged = errors.New("the request's API key is no longer valid, or can't be checked")

// identify sets on whose behalf the request is sent, by the keys of a configuration. It fails if
// the request may not be sent.
func (c *call) identify(config *fleet.Config) *failure {
	if config.Keys == nil {
		c.identity = identity{}
		return nil
	}
	c.identity = identity{keyed: true}
	organisation, err := c.organisationOf(config.Keys)
	fresh := c.relay.keysUsable()
	switch {
	case err == nil && fresh:
		c.identity.organisation, c.identity.priority = organisation.Name, organisation.Priority
		return nil
	case c.rule.Public:
		return nil
	case errors.Is(err, apikey.ErrMissing), errors.Is(err, apikey.ErrMalformed):
		return c.failUnauthorised(reasonNoKey, err.Error())
	case !fresh:
		// An unknown key may have been added, and a known one removed.
		return c.fail(reasonStaleKeys, "the API keys can't be checked at this daemon now")
	default:
		return c.failUnauthorised(reasonUnknownKey, "the API key is not valid")
	}
}

var errUnknownKey = errors.New("no organisation holds the API key")

func (c *call) organisationOf(keys *apikey.Set) (*apikey.Organisation, error) {
	if c.keyErr != nil {
		return nil, c.keyErr
	}
	o, ok := keys.Lookup(c.key)
	if !ok {
		return nil, errUnknownKey
	}
	return o, nil
}

// failUnauthorised returns the failure of a request without a valid key. Once the request may
// have run, its failure must not say otherwise.
func (c *call) failUnauthorised(why reason, message string) *failure {
	if c.attempts.MayHaveRun() {
		return c.fail(why, message)
	}
	return newFailure(http.StatusUnauthorized, why, message)
}

// checkIdentity is the last check before the request is sent. Keys may have been removed, or
// given to another organisation, since it was identified.
func (c *call) checkIdentity() error {
	config := c.relay.cfg.State.Snapshot().Config
	if config.Keys == nil && !c.identity.keyed {
		return nil
	}
	if config.Keys == nil || !c.identity.keyed {
		return errIdentityChanged
	}
	if c.identity.organisation == "" && c.rule.Public {
		return nil
	}
	o, err := c.organisationOf(config.Keys)
	if err != nil || o.Name != c.identity.organisation || !c.relay.keysUsable() {
		return errIdentityChanged
	}
	return nil
}

// keysUsable reports whether the keys of the configuration in force may be used now.
func (r *Relay) keysUsable() bool { return r.cfg.KeysUsable == nil || r.cfg.KeysUsable() }
