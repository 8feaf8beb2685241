package ctl

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"tamarackchute/internal/operator/api"
	"tamarackchute/rules"
)

// headerLine matches the first line of the output of "rules get".
var headerLine = regexp.MustCompile(`^// chutectl: version (\S+).*(?:\n|$)`)

// addHeader puts a comment with the version in front of the document.
func addHeader(r api.Rules) string {
	header := "// chutectl: version " + r.Version.String()
	if !r.Version.IsZero() {
		note := strings.ReplaceAll(r.Note, "\n", " ")
		header += strings.TrimSuffix(fmt.Sprintf(" by %s at %s: %s", r.Author, r.At.UTC().Format(time.RFC3339), note), ": ")
	}
	return header + "\n" + strings.TrimSuffix(r.Document, "\n") + "\n"
}

// splitHeader removes the header from a document and returns the version that it
// records. found is false if there is no valid header.
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
