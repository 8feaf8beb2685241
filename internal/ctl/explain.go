package ctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"tamarackchute/internal/telemetry"

	"github.com/rotisserie/eris"
)

// maxLogLine bounds one line of a log, in bytes.
const maxLogLine = 1 << 20

// logLine is one line of a daemon's log.
type logLine struct {
	Time     time.Time
	Message  string
	Instance string
	// Fields are all others, as they stand in the line.
	Fields map[string]json.RawMessage
	// raw is the whole line.
	raw []byte
}

func prepareExplain(flags *flag.FlagSet) runner {
	file := flags.String("log", "-", "`file` with the daemons' log lines, several joined by commas; - is the standard input")
	beside := flags.Bool("beside", false, "print the prompts too that the same engine read meanwhile; needs files")
	return func(s *session, operands []string) error {
		if *beside && *file == "-" {
			return usageError("explain: -beside reads the logs twice and needs -log")
		}
		lines, err := s.explain(operands[0], *file)
		if err != nil || !*beside {
			return err
		}
		return s.explainBeside(lines, operands[0], *file)
	}
}

// explain prints the life of one request in the order of time, over all daemons
// whose logs are given, and returns its lines.
func (s *session) explain(id, files string) ([]logLine, error) {
	lines, err := s.linesAbout(files, id)
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, &exitError{code: ExitFailed, message: fmt.Sprintf("no line names the request %q", id)}
	}
	for _, l := range lines {
		s.printLine(l, lines[0].Time)
	}
	return lines, nil
}

func (s *session) printLine(l logLine, began time.Time) {
	if s.form == formJSON {
		fmt.Fprintf(s.Stdout, "%s\n", l.raw)
		return
	}
	fmt.Fprintf(s.Stdout, "%10.3f ms  %-28s %-9s", telemetry.Millis(l.Time.Sub(began)), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		fmt.Fprintf(s.Stdout, " %s=%s", name, l.Fields[name])
	}
	fmt.Fprintln(s.Stdout)
}

// linesAbout returns the lines of all files that are about a request, in order.
func (s *session) linesAbout(files, id string) ([]logLine, error) {
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	return s.linesWhere(files, func(text []byte) (logLine, bool) { return lineOf(text, quoted) })
}

// linesWhere returns the lines of all files that pick takes, in order.
func (s *session) linesWhere(files string, pick func(text []byte) (logLine, bool)) ([]logLine, error) {
	var lines []logLine
	for name := range strings.SplitSeq(files, ",") {
		found, err := s.linesOf(name, pick)
		if err != nil {
			return nil, err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

func (s *session) linesOf(name string, pick func(text []byte) (logLine, bool)) ([]logLine, error) {
	var in io.Reader = s.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, eris.Wrap(err, "log")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		if l, ok := pick(scanner.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "log %s", name)
}

// lineOf reads a line if it is about the request.
func lineOf(text, quotedID []byte) (logLine, bool) {
	if !bytes.Contains(text, quotedID) {
		return logLine{}, false
	}
	l, ok := parseLine(text)
	if !ok || !bytes.Equal(l.Fields["request"], quotedID) {
		return logLine{}, false
	}
	delete(l.Fields, "request")
	return l, true
}

// parseLine reads a line of any daemon. What a collector of logs has put before the
// line's object is left out.
func parseLine(text []byte) (logLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	text = bytes.Clone(text[start:])
	l := logLine{raw: text}
	if json.Unmarshal(text, &l.Fields) != nil {
		return logLine{}, false
	}
	err := cmp.Or(
		json.Unmarshal(l.Fields["time"], &l.Time),
		json.Unmarshal(l.Fields["msg"], &l.Message),
		json.Unmarshal(l.Fields["instance"], &l.Instance),
	)
	for _, name := range []string{"time", "msg", "instance", "level"} {
		delete(l.Fields, name)
	}
	return l, err == nil
}
