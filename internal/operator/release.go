package operator

import (
	"context"
	"errors"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/infra"
	"tamarackchute/internal/audit"
	"tamarackchute/internal/operator/api"
	"tamarackchute/quarantine"
)

// release lets a quarantined request run again. The audit record is written first: a
// release without one must not happen, whereas a record whose release failed is harmless.
func (h *handler) release(c *fiber.Ctx) error {
	var r api.ReleaseRequest
	if err := c.BodyParser(&r); err != nil {
		return sendError(c, fiber.StatusBadRequest, "the body is no release: "+err.Error())
	}
	digest, err := quarantine.ParseDigest(r.Digest)
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	if r.Reason == "" {
		return sendError(c, fiber.StatusBadRequest, "a release needs a reason")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.WriteTimeout)
	defer cancel()
	record := audit.Record{
		Who: operatorOf(c), What: audit.QuarantineEnded, Target: digest.String(), Reason: r.Reason,
	}
	if err := audit.Append(ctx, h.Journal, record); err != nil {
		return h.releaseError(c, err)
	}
	release := quarantine.Release{Digest: digest, Operator: operatorOf(c), Reason: r.Reason}
	if err := h.Quarantine.Release(ctx, release); err != nil {
		return h.releaseError(c, err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (h *handler) releaseError(c *fiber.Ctx, err error) error {
	h.Logger.Warn("quarantine not released", "operator", operatorOf(c), "err", err)
	if errors.Is(err, infra.ErrNotWritten) {
		return sendError(c, fiber.StatusServiceUnavailable, "not released: the log didn't take it")
	}
	return sendError(c, fiber.StatusServiceUnavailable, "the outcome is unknown: the log hasn't shown the release; it may be sent again")
}
