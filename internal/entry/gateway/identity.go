package gateway

import (
	"errors"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/apikey"
	"tamarackchute/internal/entry/outcome"
)

// keyOf returns the digest of the caller's API key, nil if it sent none or a malformed one.
func keyOf(c *fiber.Ctx) *apikey.Digest {
	var values []string
	for _, value := range c.Request().Header.PeekAll(apikey.Header) {
		values = append(values, string(value))
	}
	digest, err := apikey.FromHeader(values)
	if err != nil {
		return nil
	}
	return &digest
}

// retryAfterStaleKeys is the Retry-After of requests that another instance may serve.
const retryAfterStaleKeys = time.Second

// identify sets the call's organisation by its key, or returns the failure of a call that needs a
// valid one. It holds whatever organisation the caller named.
func (g *Gateway) identify(k *call) *outcome.Failure {
	d := k.decision
	if !d.Keyed {
		return nil
	}
	k.organisation = defaultOrganisation
	if d.Organisation != "" {
		k.organisation = d.Organisation
	}
	if d.Then.Refuse != nil || d.Then.Public {
		return nil
	}
	if k.key != nil && !g.keysUsable() {
		return outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeKeysStale,
			"this instance can't check API keys now").WithRetryAfter(retryAfterStaleKeys)
	}
	if d.Unauthorised {
		return outcome.Refused(fiber.StatusUnauthorized, outcome.CodeUnauthorised, "the request needs a valid API key")
	}
	return nil
}

var errKeyNotHeld = errors.New("the API key was removed, or can't be checked any more")

// admitKey returns the check before each attempt of a call: its key may have been removed since.
func (g *Gateway) admitKey(k *call) func() error {
	if !k.decision.Keyed || k.decision.Then.Public {
		return nil
	}
	return func() error {
		if !g.keysUsable() || !g.deps.Rules.Holds(k.key, k.decision.Organisation) {
			return errKeyNotHeld
		}
		return nil
	}
}

func (g *Gateway) keysUsable() bool { return g.deps.KeysUsable == nil || g.deps.KeysUsable() }

// isIdentityHeader reports whether a header says on whose behalf a request is made. Those of callers
// don't reach upstreams.
func isIdentityHeader(name string) bool {
	return strings.EqualFold(name, apikey.Header) || strings.EqualFold(name, headerOrganisation)
}
