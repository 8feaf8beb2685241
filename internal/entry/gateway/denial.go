package gateway

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/freshness"
	"tamarackchute/internal/boottime"
	"tamarackchute/internal/entry/outcome"
)

// retryAfterOutdated is the Retry-After of requests that an instance with newer rules may serve.
const retryAfterOutdated = time.Second

// standing returns how current the rules in force are. Versions written together count as one.
func (g *Gateway) standing() freshness.Standing {
	s := freshness.Standing{Version: uint64(g.deps.Rules.Version().Offset), Limit: g.opts.RulesLimit}
	now := boottime.Now()
	s.Newest, s.NamedBy = g.namedRules.Newest(now)
	s.Behind = g.namedRules.Behind(s.Version, now)
	if g.deps.RulesAge != nil {
		s.Age = g.deps.RulesAge()
	}
	return s
}

// deniesByRules reports whether a failure refuses a request for good by the rules in force.
func deniesByRules(f *outcome.Failure) bool {
	switch f.Code {
	case outcome.CodeNoRule, outcome.CodeUnauthorised:
		return true
	case outcome.CodeRefusedByRule:
		return f.Status < fiber.StatusInternalServerError && f.Status != fiber.StatusTooManyRequests
	}
	return false
}

// withholdDenial replaces a failure that refuses a request for good, if the rules in force aren't known
// to be the newest.
func (g *Gateway) withholdDenial(k *call, f *outcome.Failure) *outcome.Failure {
	if !deniesByRules(f) {
		return f
	}
	s := g.standing()
	if s.MayDeny() {
		return f
	}
	g.deps.Log.Warn("denial withheld", "request", k.id, "path", k.path, "rule", f.Rule, "code", f.Code, "rules", s.Version,
		"rules_age_ms", freshness.Millis(s.Age), "newest_rules", s.Newest, "named_by", s.NamedBy)
	return refuseOutdated("this instance's rules may not be the newest")
}

func refuseOutdated(message string) *outcome.Failure {
	return outcome.Refused(fiber.StatusServiceUnavailable, outcome.CodeRulesOutdated, "%s", message).WithRetryAfter(retryAfterOutdated)
}

// refuseOverdue returns the refusal of a request that other instances would decide by newer rules.
func (g *Gateway) refuseOverdue(k *call, s freshness.Standing) *outcome.Failure {
	g.deps.Log.Warn("rules overdue", "request", k.id, "path", k.path, "rule", k.decision.Rule, "rules", s.Version,
		"newest_rules", s.Newest, "named_by", s.NamedBy, "behind_ms", s.Behind.Milliseconds())
	return refuseOutdated("this instance's rules are older than others'")
}
