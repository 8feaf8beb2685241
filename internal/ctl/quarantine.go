package ctl

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/daemonstatus"
	"tamarackchute/quarantine"
)

func prepareListQuarantine(*flag.FlagSet) runner {
	return func(s *session, operands []string) error { return s.listQuarantined(operands[0]) }
}

// listQuarantined lists what a daemon refuses.
func (s *session) listQuarantined(address string) error {
	status, err := s.fetchStatus(address)
	if err != nil {
		return &exitError{code: ExitFailed, message: err.Error()}
	}
	if s.format == formatJSON {
		return s.printJSON(status.Quarantined)
	}
	t := s.table("REFUSED", "KIND", "FOR", "CRASHED")
	for _, q := range status.Quarantined {
		left := time.Duration(q.RemainingMS * float64(time.Millisecond)).Round(time.Second)
		kind := "request"
		if q.Part {
			kind = "prompt part"
		}
		t.row(q.Digest, kind, left.String(), strings.Join(q.Crashed, " "))
	}
	return t.flush()
}

func prepareReleaseQuarantined(flags *flag.FlagSet) runner {
	operator := flags.String("operator", "", "who releases the request, for the log")
	reason := flags.String("reason", "", "why the request may run again, for the log")
	return func(s *session, operands []string) error {
		return s.releaseQuarantined(operands[0], daemonstatus.Release{Digest: operands[1], Operator: *operator, Reason: *reason})
	}
}

// releaseQuarantined lets a request run again at all daemons.
func (s *session) releaseQuarantined(address string, r daemonstatus.Release) error {
	if _, err := quarantine.ParseDigest(r.Digest); err != nil {
		return usageError("%v", err)
	}
	if r.Operator == "" || r.Reason == "" {
		return usageError("a release needs -operator and -reason")
	}
	body, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "release")
	}
	req, err := http.NewRequestWithContext(s.ctx, http.MethodPost, "http://"+address+daemonstatus.ReleasePath, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &exitError{code: ExitFailed, message: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		message, _ := io.ReadAll(io.LimitReader(resp.Body, maxReply)) // only for the message
		return &exitError{code: ExitFailed, message: strings.TrimSpace(string(message))}
	}
	return nil
}
