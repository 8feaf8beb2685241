package operator

import (
	"context"
	"errors"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/infra"
	"tamarackchute/internal/audit"
	"tamarackchute/internal/operator/api"
)

// claimHistoryTarget is the target of audit records about the claim history.
const claimHistoryTarget = "claims"

// acceptGap marks the history of protected calls as complete although records expired
// unread. The audit record is written first, as for a release.
func (h *handler) acceptGap(c *fiber.Ctx) error {
	var r api.AcceptGapRequest
	if err := c.BodyParser(&r); err != nil {
		return sendError(c, fiber.StatusBadRequest, "the body has no reason: "+err.Error())
	}
	if r.Reason == "" {
		return sendError(c, fiber.StatusBadRequest, "accepting the gap needs a reason")
	}
	if h.Claims.Stats().Complete {
		return sendError(c, fiber.StatusConflict, "the history of claims is complete here; there is no gap to accept")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.WriteTimeout)
	defer cancel()
	record := audit.Record{
		Who: operatorOf(c), What: audit.ClaimGapAccepted, Target: claimHistoryTarget, Reason: r.Reason,
	}
	if err := audit.Append(ctx, h.Journal, record); err != nil {
		return h.gapError(c, err)
	}
	if err := h.Claims.AcceptGap(ctx); err != nil {
		return h.gapError(c, err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (h *handler) gapError(c *fiber.Ctx, err error) error {
	h.Logger.Warn("gap in the claims not accepted", "operator", operatorOf(c), "err", err)
	if errors.Is(err, infra.ErrNotWritten) {
		return sendError(c, fiber.StatusServiceUnavailable, "not accepted: the log didn't take it")
	}
	return sendError(c, fiber.StatusGatewayTimeout, "the outcome is unknown: the log hasn't shown it; it may be sent again")
}
