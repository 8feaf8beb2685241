package ctl

import (
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/apikey"
	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

// organisationView is an organisation as operators see it: keys are shown by their fingerprints.
type organisationView struct {
	Name     string   `json:"name"`
	Priority *int     `json:"priority,omitempty"`
	Keys     []string `json:"keys"`
}

func viewsOf(organisations []apikey.Organisation) []organisationView {
	views := make([]organisationView, 0, len(organisations))
	for _, o := range organisations {
		v := organisationView{Name: o.Name, Priority: o.Priority, Keys: []string{}}
		for _, key := range o.Keys {
			v.Keys = append(v.Keys, key.Fingerprint())
		}
		views = append(views, v)
	}
	return views
}

func prepareListKeys(*flag.FlagSet) runner { return listKeys }

func listKeys(s *session, _ []string) error {
	_, current, err := s.connectedRules()
	if err != nil {
		return err
	}
	organisations, err := rules.Organisations([]byte(current.Document))
	if err != nil {
		return err
	}
	views := viewsOf(organisations)
	if s.format == formatJSON {
		return s.printJSON(views)
	}
	if organisations == nil {
		fmt.Fprintln(s.Stdout, "no organisations: no rule needs a key")
		return nil
	}
	t := s.table("ORGANISATION", "PRIORITY", "KEYS")
	for _, v := range views {
		priority := "-"
		if v.Priority != nil {
			priority = fmt.Sprint(*v.Priority)
		}
		t.row(v.Name, priority, strings.Join(v.Keys, " "))
	}
	return t.flush()
}

// connectedRules returns a client with the rules in force.
func (s *session) connectedRules() (*client, api.Rules, error) {
	c, err := s.connect()
	if err != nil {
		return nil, api.Rules{}, err
	}
	current, err := c.currentRules(s)
	return c, current, err
}

func prepareAddKey(flags *flag.FlagSet) runner { return prepareNewKey(flags, "add", rules.AddKey) }

func prepareRotateKey(flags *flag.FlagSet) runner { return prepareNewKey(flags, "rotate to", rotate) }

// prepareNewKey prepares a command that adds a key to an organisation.
func prepareNewKey(flags *flag.FlagSet, verb string, change func(document []byte, organisation string, key apikey.Digest) ([]byte, error)) runner {
	file := flags.String("key-file", "-", "`file` that holds the key; - for standard input")
	note := flags.String("note", "", "`text` for the history and the audit trail")
	return func(s *session, operands []string) error {
		key, err := s.readKey(*file)
		if err != nil {
			return err
		}
		apply := func(document []byte) ([]byte, error) { return change(document, operands[0], key) }
		return s.changeKeys(apply, orElse(*note, fmt.Sprintf("%s key %s of %s", verb, key.Fingerprint(), operands[0])))
	}
}

// validKeys is the number of keys that an organisation has after a rotation: the new one and the one
// before it, for callers that don't have the new one yet.
const validKeys = 2

// rotate adds a key of an organisation and removes its oldest ones.
func rotate(document []byte, organisation string, key apikey.Digest) ([]byte, error) {
	document, err := rules.AddKey(document, organisation, key)
	if err != nil {
		return nil, err
	}
	list, err := rules.Organisations(document)
	if err != nil {
		return nil, err
	}
	for _, o := range list {
		if o.Name != organisation {
			continue
		}
		for _, old := range o.Keys[:max(0, len(o.Keys)-validKeys)] {
			if document, err = rules.RemoveKey(document, organisation, old.Fingerprint()); err != nil {
				return nil, err
			}
		}
	}
	return document, nil
}

func prepareRemoveKey(flags *flag.FlagSet) runner {
	note := flags.String("note", "", "`text` for the history and the audit trail")
	return func(s *session, operands []string) error {
		organisation, fingerprint := operands[0], operands[1]
		change := func(document []byte) ([]byte, error) {
			return rules.RemoveKey(document, organisation, fingerprint)
		}
		return s.changeKeys(change, orElse(*note, "remove key "+fingerprint+" of "+organisation))
	}
}

func orElse(text, otherwise string) string {
	if text == "" {
		return otherwise
	}
	return text
}

// changeKeys publishes the rules in force with a change of their keys, and says when removed keys are
// no longer used by any instance.
func (s *session) changeKeys(change func(document []byte) ([]byte, error), note string) error {
	c, current, err := s.connectedRules()
	if err != nil {
		return err
	}
	document, err := change([]byte(current.Document))
	if err != nil {
		return err
	}
	if err := c.publish(s, api.PublishRequest{Base: current.Version, Document: string(document), Note: note}); err != nil {
		return err
	}
	if s.format == formatJSON {
		return nil
	}
	bound := time.Duration(s.deployment.Keys.RevocationSeconds * float64(time.Second))
	if bound == 0 {
		fmt.Fprintln(s.Stdout, "removed keys are refused by each instance that has this version; the settings have no bound (keys.revocation_s)")
		return nil
	}
	fmt.Fprintf(s.Stdout, "a removed key is used by no instance after %s (%v from now)\n", time.Now().Add(bound).Format(time.RFC3339), bound)
	return nil
}

// readKey reads an API key and returns its digest. Error messages never contain any part of it.
func (s *session) readKey(file string) (apikey.Digest, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(s.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return apikey.Digest{}, eris.Wrap(err, "read key")
	}
	digest, err := apikey.DigestOf(strings.TrimSpace(string(data)))
	if err != nil {
		return apikey.Digest{}, usageError("%v", err)
	}
	return digest, nil
}
