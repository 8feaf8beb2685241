package ctl

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
)

// command describes one command of chutectl.
type command struct {
	// name is the words of the command, such as "rules get"; arguments is the part
	// of the usage line that follows it.
	name, arguments string
	// summary is the one-line description; help is the detailed text.
	summary, help string
	// prepare registers the command's flags and returns its runner.
	prepare func(*flag.FlagSet) runner
	// operands is the required number of non-flag arguments.
	operands int
}

// runner executes a command with its operands.
type runner func(s *session, operands []string) error

var commands = []command{
	{
		name: "explain", arguments: "REQUEST", operands: 1,
		summary: "prints the life of one request from the daemons' logs",
		help: "Reads the log lines that chute-member writes and prints those about the request in\n" +
			"chronological order, with the values behind each decision. Needs no settings file.",
		prepare: prepareExplain,
	},
	{
		name:    "summary",
		summary: "says by rule why requests weren't answered in time, from the daemons' logs",
		help: "Reads the log lines that chute-member writes and counts how requests ended: in time,\n" +
			"or by the cause for which they were late or refused. Needs no settings file.",
		prepare: prepareSummary,
	},
	{
		name: "daemons", arguments: "ADDRESS,...", operands: 1,
		summary: "shows daemons, servers, the lease and budgets on the platform",
		help: "Queries the metrics address of each chute-member listed. Servers, other daemons and\n" +
			"budgets are shown as reported by the first one that answers. Needs no settings file.",
		prepare: prepareDaemons,
	},
	{
		name: "quarantine list", arguments: "ADDRESS", operands: 1,
		summary: "lists the requests that a daemon refuses because they crash upstreams",
		help: "Queries the metrics address of a chute-member. Each request is shown by its digest, as in\n" +
			"the logs, with the upstreams that crashed. Needs no settings file.",
		prepare: prepareListQuarantine,
	},
	{
		name: "quarantine release", arguments: "ADDRESS DIGEST", operands: 2,
		summary: "lets such a request run again, at all daemons",
		help:    "Sent to the metrics address of any chute-member. Needs no settings file.",
		prepare: prepareReleaseQuarantined,
	},
	{
		name:    "rules get",
		summary: "prints the rules in force",
		help: "The first line, a comment, records the version: edit the output, and publish uses\n" +
			"it as the version that you edited.",
		prepare: prepareGet,
	},
	{
		name: "rules validate", arguments: "FILE", operands: 1,
		summary: "checks a rule set and publishes nothing",
		help:    "Lists every problem with line and column. FILE may be - for standard input.",
		prepare: prepareValidate,
	},
	{
		name: "rules diff", arguments: "FILE", operands: 1,
		summary: "shows what leads from the rules in force to those in FILE",
		help:    "Rules are identified by their names. Comments are ignored.",
		prepare: prepareDiff,
	},
	{
		name: "rules publish", arguments: "FILE", operands: 1,
		summary: "puts the rules in FILE in force",
		help: "Only if the version that you edited still is in force. If another operator was\n" +
			"faster, it shows the difference and ends with exit code 3.",
		prepare: preparePublish,
	},
	{
		name: "rules move", arguments: "RULE", operands: 1,
		summary: "moves one rule of those in force and publishes the result",
		help:    "Give one of -before, -first and -last.",
		prepare: prepareMove,
	},
	{
		name:    "rules history",
		summary: "lists the latest publications, newest first",
		help:    "The list includes conflicts and unknown outcomes.",
		prepare: prepareHistory,
	},
	{
		name:    "keys list",
		summary: "lists the organisations and their API keys",
		help:    "Keys are shown by their fingerprints, the first digits of their digests.",
		prepare: prepareListKeys,
	},
	{
		name: "keys add", arguments: "ORG", operands: 1,
		summary: "adds an API key of an organisation, and the organisation if it is new",
		help:    "The key is read from standard input or a file and never sent: the rules contain its\ndigest.",
		prepare: prepareAddKey,
	},
	{
		name: "keys rotate", arguments: "ORG", operands: 1,
		summary: "adds an API key and removes all but it and the one before it",
		help:    "Two keys are valid side by side, until the next rotation or \"keys remove\".",
		prepare: prepareRotateKey,
	},
	{
		name: "keys remove", arguments: "ORG KEY", operands: 2,
		summary: "removes an API key",
		help:    "KEY is the fingerprint that \"keys list\" shows. Says from when on no instance uses the key, also\none that is cut off from the log.",
		prepare: prepareRemoveKey,
	},
	{
		name:    "status",
		summary: "shows instances, leaders and upstreams",
		help:    "Asks every instance which rules it has in force. Leaders and upstreams are shown as\nreported by the first instance that answers.",
		prepare: prepareStatus,
	},
	{
		name:    "audit",
		summary: "lists who changed what, newest first",
		help:    "Each record contains the time, the reason, and the state before and after.",
		prepare: prepareAudit,
	},
	{
		name:    "claims status",
		summary: "shows whether each instance knows all protected calls",
		help: "An instance without the complete history refuses plain keys that it doesn't know,\n" +
			"until it reads a checkpoint of an instance that has it, or the gap is accepted.",
		prepare: prepareClaimsStatus,
	},
	{
		name:    "claims accept-gap",
		summary: "takes calls from before a gap in the log as forgotten",
		help: "For when no instance has the complete history any more: all were down for longer\n" +
			"than the log keeps records, or the log was already in use at the first start. Calls\n" +
			"with plain keys from before the gap may then run again. Refused while an instance\n" +
			"has the complete history: its checkpoint closes the gap without loss.",
		prepare: prepareAcceptGap,
	},
}

// findCommand finds the command that args start with and returns the arguments that
// follow its name.
func findCommand(args []string) (*command, []string, error) {
	for i := range commands {
		words := strings.Fields(commands[i].name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == commands[i].name {
			return &commands[i], args[len(words):], nil
		}
	}
	if len(args) == 0 {
		return nil, nil, usageError("no command; see chutectl -h")
	}
	return nil, nil, usageError("unknown command %q; see chutectl -h", strings.Join(args[:min(len(args), 2)], " "))
}

func (s *session) runCommand(c *command, args []string) error {
	flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	run := c.prepare(flags)
	operands, err := parseInterspersed(flags, args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		s.printCommandHelp(c, flags)
		return nil
	case err != nil:
		return usageError("%s: %v; see chutectl %s -h", c.name, err, c.name)
	case len(operands) != c.operands:
		return usageError("%s takes %d arguments, not %d; see chutectl %s -h", c.name, c.operands, len(operands), c.name)
	}
	return run(s, operands)
}

// parseInterspersed parses flags before, between and after the operands and returns
// the operands.
func parseInterspersed(flags *flag.FlagSet, args []string) ([]string, error) {
	var operands []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return operands, nil
		}
		operands = append(operands, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func (s *session) printHelp(flags *flag.FlagSet) {
	fmt.Fprint(s.Stdout, "Usage: chutectl [flags] COMMAND [arguments]\n\nCommands:\n")
	for _, c := range commands {
		fmt.Fprintf(s.Stdout, "  %-33s %s\n", strings.TrimSpace(c.name+" "+c.arguments), c.summary)
	}
	fmt.Fprint(s.Stdout, "\nFlags:\n")
	printFlags(s.Stdout, flags)
	fmt.Fprint(s.Stdout, `
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 invalid rules,
5 outcome unknown, 6 unauthorised.
`)
}

func (s *session) printCommandHelp(c *command, flags *flag.FlagSet) {
	fmt.Fprintf(s.Stdout, "Usage: chutectl [flags] %s\n\n%s %s.\n%s\n\n",
		strings.TrimSpace(c.name+" [flags] "+c.arguments), c.name, c.summary, c.help)
	printFlags(s.Stdout, flags)
}

func printFlags(w io.Writer, flags *flag.FlagSet) {
	flags.SetOutput(w)
	flags.PrintDefaults()
	flags.SetOutput(io.Discard)
}
