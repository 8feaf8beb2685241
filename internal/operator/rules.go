package operator

import (
	"context"
	"errors"

	"github.com/gofiber/fiber/v2"

	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

// Limits of a publication's texts.
const (
	maxNoteBytes = 500
	maxIDBytes   = 100
)

func (h *handler) getRules(c *fiber.Ctx) error {
	inForce := h.Replica.Current()
	if inForce == nil {
		return sendError(c, fiber.StatusServiceUnavailable, "the rules in force are not known here yet")
	}
	return c.JSON(api.Rules{
		Version: inForce.Version, Author: inForce.Author, Note: inForce.Note, At: inForce.At,
		Document: string(inForce.Set.Document()),
	})
}

func (h *handler) putRules(c *fiber.Ctx) error {
	var r api.PublishRequest
	if err := c.BodyParser(&r); err != nil {
		return sendError(c, fiber.StatusBadRequest, "the body is no publication: "+err.Error())
	}
	if len(r.Note) > maxNoteBytes || len(r.ID) > maxIDBytes {
		return sendError(c, fiber.StatusBadRequest, "the note or the id is too long")
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.WriteTimeout)
	defer cancel()
	result, err := h.Publisher.Publish(ctx, rules.Publication{
		ID: r.ID, Base: r.Base, Document: []byte(r.Document), Author: operatorOf(c), Note: r.Note, Force: r.Force,
	})
	if err != nil {
		return h.publishError(c, err)
	}
	h.Logger.Info("rules publication", "operator", operatorOf(c), "outcome", result.Outcome,
		"base", r.Base.String(), "version", result.Version.String())
	status := map[rules.Outcome]int{
		rules.OutcomeAccepted: fiber.StatusOK,
		rules.OutcomeConflict: fiber.StatusConflict,
	}[result.Outcome]
	if status == 0 {
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(api.PublishReply{Result: result})
}

// publishError replies to a publication that is certainly not in the log.
func (h *handler) publishError(c *fiber.Ctx, err error) error {
	var invalid *rules.InvalidError
	if errors.As(err, &invalid) {
		return c.Status(fiber.StatusUnprocessableEntity).JSON(api.Problems{Problems: invalid.Problems})
	}
	h.Logger.Warn("rules not published", "operator", operatorOf(c), "err", err)
	return sendError(c, fiber.StatusServiceUnavailable, "not published, and won't be: the log didn't take it")
}

func (h *handler) validate(c *fiber.Ctx) error {
	var r api.ValidateRequest
	if err := c.BodyParser(&r); err != nil {
		return sendError(c, fiber.StatusBadRequest, "the body has no document: "+err.Error())
	}
	_, err := rules.Parse([]byte(r.Document), h.KnownNames)
	var invalid *rules.InvalidError
	if errors.As(err, &invalid) {
		return c.Status(fiber.StatusUnprocessableEntity).JSON(api.Problems{Problems: invalid.Problems})
	}
	return c.JSON(api.Problems{Problems: []rules.Problem{}})
}

func (h *handler) getHistory(c *fiber.Ctx) error {
	list := h.Replica.History()
	return c.JSON(api.History{Publications: list[:min(listLength(c), len(list))]})
}
