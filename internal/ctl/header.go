package ctl

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

// headerLine is the first line of what "rules get" prints.
var headerLine = regexp.MustCompile(`^// chutectl: version (\S+).*(?:\n|$)`)

// withHeader puts the version in front of a document.
func withHeader(r api.Rules) string {
	header := "// chutectl: version " + r.Version.String()
	if !r.Version.IsZero() {
		note := strings.ReplaceAll(r.Note, "\n", " ")
		header += strings.TrimSuffix(fmt.Sprintf(" by %s at %s: %s", r.Author, r.At.UTC().Format(time.RFC3339), note), ": ")
	}
	return header + "\n" + strings.TrimSuffix(r.Document, "\n") + "\n"
}

// splitHeader takes the header off a document and returns the version it
// records, if there is one.
func splitHeader(document []byte) (rest []byte, version rules.Version, found bool) {
	m := headerLine.FindSubmatch(document)
	if m == nil {
		return document, rules.Version{}, false
	}
	version, err := rules.ParseVersion(string(m[1]))
	if err != nil {
		return document, rules.Version{}, false
	}
	return document[len(m[0]):], version, true
}
