package ctl

import (
	"flag"
	"fmt"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

func preparePublish(flags *flag.FlagSet) runner {
	base := flags.String("base", "", "`version` that was edited; by default the one that the file records")
	note := flags.String("note", "", "`text` for the history and the audit trail")
	force := flags.Bool("force", false, "publish although no instance knows the version in force, after records\n"+
		"of the log were lost; replaces whatever was published before this")
	return func(s *session, operands []string) error {
		document, err := s.readFile(operands[0])
		if err != nil {
			return err
		}
		document, version, found := splitHeader(document)
		s.headerLines = 0
		if found {
			s.headerLines = 1
		}
		if *base != "" {
			if version, err = rules.ParseVersion(*base); err != nil {
				return usageError("-base: %v", err)
			}
		} else if !found && !*force {
			return usageError("%s doesn't record its version, as a file from \"rules get\" does; give -base", operands[0])
		}
		c, err := s.connect()
		if err != nil {
			return err
		}
		return c.publish(s, api.PublishRequest{Base: version, Document: string(document), Note: *note, Force: *force})
	}
}

func prepareMove(flags *flag.FlagSet) runner {
	var to rules.MoveTarget
	flags.StringVar(&to.Before, "before", "", "put it in front of this `rule`")
	flags.BoolVar(&to.First, "first", false, "put it in front of all")
	flags.BoolVar(&to.Last, "last", false, "put it behind all")
	note := flags.String("note", "", "`text` for the history and the audit trail")
	return func(s *session, operands []string) error {
		targets := 0
		for _, given := range []bool{to.Before != "", to.First, to.Last} {
			if given {
				targets++
			}
		}
		if targets != 1 {
			return usageError("rules move needs one of -before, -first and -last")
		}
		c, err := s.connect()
		if err != nil {
			return err
		}
		current, err := c.currentRules(s)
		if err != nil {
			return err
		}
		document, err := rules.Move([]byte(current.Document), operands[0], to)
		if err != nil {
			return err
		}
		if *note == "" {
			*note = "move " + operands[0]
		}
		return c.publish(s, api.PublishRequest{Base: current.Version, Document: string(document), Note: *note})
	}
}

// publish sends a publication to one instance after the other until one returns a
// final outcome. All attempts share one ID, so the publication takes effect at most
// once: after a lost reply, or an instance that timed out waiting for the log, the
// next instance can tell the outcome.
func (c *client) publish(s *session, request api.PublishRequest) error {
	request.ID = uuid.NewString()
	maybePublished := false
	var failures []string
	for _, in := range c.instances {
		r, err := c.call(s.ctx, in, fasthttp.MethodPut, api.PathRules, request)
		if err != nil {
			maybePublished = maybePublished || mayHaveRun(err)
			failures = append(failures, in.Name+": "+cause(err))
			continue
		}
		if isDecided(r.status) || (!maybePublished && r.status < fasthttp.StatusInternalServerError) {
			return s.showPublished(r)
		}
		undecided, reason := r.failureOutcome()
		maybePublished = maybePublished || undecided
		failures = append(failures, reason)
	}
	reasons := strings.Join(failures, "; ")
	if maybePublished {
		if s.format == formatJSON {
			unknown := rules.Result{ID: request.ID, Outcome: rules.OutcomeUnknown, Reason: reasons}
			if err := s.printJSON(api.PublishReply{Result: unknown}); err != nil {
				return err
			}
		}
		return &exitError{code: ExitUnknown, message: "outcome unknown, look at rules history before you try again: " + reasons}
	}
	return &exitError{code: ExitFailed, message: "not published: " + reasons}
}

// isDecided reports whether a response with this status contains a final outcome.
func isDecided(status int) bool {
	return status == fasthttp.StatusOK || status == fasthttp.StatusConflict
}

// failureOutcome interprets a response without a final outcome. It reports whether
// the publication may have taken effect or may still do so, and the reason. The
// outcome of an internal error is unknown.
func (r *reply) failureOutcome() (bool, string) {
	var p api.PublishReply
	if r.status == fasthttp.StatusServiceUnavailable {
		if r.decode(&p) == nil && p.Outcome == rules.OutcomeUnknown {
			return true, r.instance + ": " + p.Reason
		}
		return false, r.failure().Error()
	}
	return r.status >= fasthttp.StatusInternalServerError, r.failure().Error()
}

// showPublished prints an instance's response to a publication.
func (s *session) showPublished(r *reply) error {
	switch r.status {
	case fasthttp.StatusUnprocessableEntity:
		var invalid api.Problems
		if err := r.decode(&invalid); err != nil {
			return err
		}
		for i := range invalid.Problems {
			invalid.Problems[i].Line += s.headerLines
		}
		return s.showProblems(invalid.Problems)
	case fasthttp.StatusOK, fasthttp.StatusConflict:
	default:
		return r.failure()
	}
	var published api.PublishReply
	if err := r.decode(&published); err != nil {
		return err
	}
	if s.format == formatJSON {
		if err := s.printJSON(published); err != nil {
			return err
		}
	}
	if published.Outcome == rules.OutcomeAccepted {
		if s.format == formatText {
			fmt.Fprintf(s.Stdout, "published as version %s\n", published.Version)
		}
		return nil
	}
	if s.format == formatText {
		fmt.Fprintf(s.Stdout, "not published: version %s is in force, not the one that you edited.\n"+
			"From it to yours:\n%s", published.Current, published.Diff)
	}
	return &exitError{code: ExitConflict, message: "conflict: another version than the one edited is in force"}
}
