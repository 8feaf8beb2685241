package ctl

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"

	"github.com/valyala/fasthttp"

	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

func prepareGet(*flag.FlagSet) runner { return getRules }

func getRules(s *session, _ []string) error {
	c, err := s.connect()
	if err != nil {
		return err
	}
	r, err := c.currentRules(s)
	if err != nil {
		return err
	}
	if s.format == formatJSON {
		return s.printJSON(r)
	}
	fmt.Fprint(s.Stdout, addHeader(r))
	return nil
}

// currentRules returns the rules in force on the first instance that answers.
func (c *client) currentRules(s *session) (api.Rules, error) {
	var r api.Rules
	answer, err := c.first(s.ctx, fasthttp.MethodGet, api.PathRules, nil)
	if err != nil {
		return r, err
	}
	return r, answer.decode(&r)
}

func prepareValidate(flags *flag.FlagSet) runner {
	local := flags.Bool("local", false, "check against the settings only, without asking an instance")
	return func(s *session, operands []string) error {
		document, err := s.readFile(operands[0])
		if err != nil {
			return err
		}
		check := checkRemotely
		if *local {
			check = checkLocally
		}
		problems, err := check(s, document)
		if err != nil {
			return err
		}
		return s.showProblems(problems)
	}
}

func checkRemotely(s *session, document []byte) ([]rules.Problem, error) {
	c, err := s.connect()
	if err != nil {
		return nil, err
	}
	r, err := c.first(s.ctx, fasthttp.MethodPost, api.PathValidate, api.ValidateRequest{Document: string(document)})
	if err != nil {
		return nil, err
	}
	var reply api.Problems
	return reply.Problems, r.decode(&reply)
}

func checkLocally(s *session, document []byte) ([]rules.Problem, error) {
	d, err := s.load()
	if err != nil {
		return nil, err
	}
	_, err = rules.Parse(document, api.KnownNames(d))
	var invalid *rules.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Problems, nil
	}
	return nil, err
}

// showProblems prints the result of a validation. It returns an error if there are
// problems.
func (s *session) showProblems(problems []rules.Problem) error {
	if s.format == formatJSON {
		if err := s.printJSON(api.Problems{Problems: append([]rules.Problem{}, problems...)}); err != nil {
			return err
		}
	} else {
		for _, p := range problems {
			fmt.Fprintln(s.Stdout, p)
		}
	}
	if len(problems) > 0 {
		return &exitError{code: ExitInvalid, message: fmt.Sprintf("invalid rules, problems: %d", len(problems))}
	}
	if s.format == formatText {
		fmt.Fprintln(s.Stdout, "valid")
	}
	return nil
}

func prepareDiff(*flag.FlagSet) runner { return diffRules }

func diffRules(s *session, operands []string) error {
	document, err := s.readFile(operands[0])
	if err != nil {
		return err
	}
	c, err := s.connect()
	if err != nil {
		return err
	}
	current, err := c.currentRules(s)
	if err != nil {
		return err
	}
	diff, err := rules.DiffDocuments([]byte(current.Document), document)
	var invalid *rules.InvalidError
	if errors.As(err, &invalid) {
		return s.showProblems(invalid.Problems)
	}
	if err != nil {
		return err
	}
	if s.format == formatJSON {
		return s.printJSON(append(rules.Diff{}, diff...))
	}
	if len(diff) == 0 {
		fmt.Fprintf(s.Stdout, "no difference to version %s\n", current.Version)
		return nil
	}
	fmt.Fprintf(s.Stdout, "from version %s, in force:\n%s", current.Version, diff)
	return nil
}

// printJSON prints a value as indented JSON.
func (s *session) printJSON(v any) error {
	out := json.NewEncoder(s.Stdout)
	out.SetEscapeHTML(false)
	out.SetIndent("", "  ")
	return out.Encode(v)
}
