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

// operatorKey is the key of the operator's name in fiber's locals.
type operatorKey struct{}

const bearerPrefix = "Bearer "

// authenticator identifies operators by the hashes of their tokens.
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
			panic("operator: token hash in the settings isn't hexadecimal") // rejected when the settings are loaded
		}
		a.operators = append(a.operators, knownOperator{name: o.Name, hash: hash})
	}
	return a
}

// RequireToken returns a handler that rejects requests without an operator's token. Other
// programs use it for their own pages, so that the check exists once.
func RequireToken(operators []settings.Operator, logger *slog.Logger) fiber.Handler {
	return newAuthenticator(operators, logger).authenticate
}

// authenticate lets a request pass if it carries an operator's token. Neither the token nor
// its hash is logged.
func (a *authenticator) authenticate(c *fiber.Ctx) error {
	token, bearer := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), bearerPrefix)
	name := ""
	if bearer && token != "" {
		name = a.identify(token)
	}
	if name == "" {
		a.logger.Warn("operator's call without a valid token", "remote", c.IP(), "method", c.Method(), "path", c.Path())
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return sendError(c, fiber.StatusUnauthorized, "a valid operator's token is needed")
	}
	c.Locals(operatorKey{}, name)
	return c.Next()
}

// identify returns the operator's name, or "". It compares the token with every hash in
// constant time, so that timing reveals nothing about the hashes.
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
