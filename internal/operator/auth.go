package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"
	"strings"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/settings"
)

// operatorKey is where a request's operator stands among fiber's locals.
type operatorKey struct{}

const bearerPrefix = "Bearer "

// authenticator knows the operators by the hashes of their tokens.
type authenticator struct {
	operators []knownOperator
	logger    *slog.Logger
}

type knownOperator struct {
	name string
	hash []byte
}

func newAuthenticator(operators []settings.Operator, logger *slog.Logger) *authenticator {
	a := &authenticator{logger: logger}
	for _, o := range operators {
		hash, err := hex.DecodeString(o.TokenSHA256)
		if err != nil {
			panic("operator: settings with a token hash that isn't hex") // refused when loaded
		}
		a.operators = append(a.operators, knownOperator{name: o.Name, hash: hash})
	}
	return a
}

// RequireToken returns a handler that lets requests through only with the token of
// an operator. Other programs' pages use it, so that there is one check.
func RequireToken(operators []settings.Operator, logger *slog.Logger) fiber.Handler {
	return newAuthenticator(operators, logger).check
}

// check lets a request through that carries an operator's token. Neither the
// token nor its hash is logged.
func (a *authenticator) check(c *fiber.Ctx) error {
	token, bearer := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	name := ""
	if bearer && token != "" {
		name = a.identify(token)
	}
	if name == "" {
		a.logger.Warn("operator's call without a valid token", "remote", c.IP(), "method", c.Method(), "path", c.Path())
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return fail(c, fiber.StatusUnauthorized, "a valid operator's token is needed")
	}
	c.Locals(operatorKey{}, name)
	return c.Next()
}

// identify returns the operator's name, or "". It compares with all hashes in
// constant time, so that its duration tells nothing of them.
func (a *authenticator) identify(token string) string {
	hash := sha256.Sum256([]byte(token))
	name := ""
	for _, o := range a.operators {
		if subtle.ConstantTimeCompare(hash[:], o.hash) == 1 {
			name = o.name
		}
	}
	return name
}

// operatorOf returns the name of the operator who sent the request.
func operatorOf(c *fiber.Ctx) string {
	name, _ := c.Locals(operatorKey{}).(string)
	return name
}
