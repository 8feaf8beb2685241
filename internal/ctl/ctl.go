// Package ctl implements chutectl, the operators' command line tool. It manages
// rules and claims and shows status and the audit trail through the operators'
// addresses of the instances, and analyses the daemons' logs.
package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackchute/internal/settings"
)

// ExitCode is the program's exit code.
type ExitCode int

// The exit codes.
const (
	// ExitOK means success.
	ExitOK ExitCode = iota
	// ExitFailed means any failure without an exit code of its own.
	ExitFailed
	// ExitUsage means that the command line is invalid.
	ExitUsage
	// ExitConflict means that the version in force isn't the one that was edited.
	ExitConflict
	// ExitInvalid means that the document has problems.
	ExitInvalid
	// ExitUnknown means that the change may have taken effect or may still do so.
	ExitUnknown
	// ExitUnauthorised means that an instance rejected the operator's token.
	ExitUnauthorised
)

// Environment holds the standard streams and environment variables of the process.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
}

// tokenVariable is the environment variable that may hold the operator's token.
const tokenVariable = "CHUTE_TOKEN"

// The output formats.
const (
	formatText = "text"
	formatJSON = "json"
)

const defaultTimeout = 30 * time.Second

// session holds the state of one command invocation.
type session struct {
	Environment
	format string
	// settingsFile and tokenFile are read only by commands that need them.
	settingsFile, tokenFile string
	instance                string
	// headerLines is the number of header lines removed from the operator's file
	// before sending. Line numbers in problems are shifted by it.
	headerLines int
	deployment  *settings.Deployment
	ctx         context.Context
}

// exitError ends a command with an exit code. An empty message isn't printed.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, message: fmt.Sprintf(format, args...)}
}

// Run runs the command given by args, which exclude the program name, and returns
// its exit code.
func Run(args []string, env Environment) ExitCode {
	s := &session{Environment: env}
	err := s.run(args)
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &exit):
		if exit.message != "" {
			fmt.Fprintln(env.Stderr, "chutectl: "+exit.message)
		}
		return exit.code
	default:
		fmt.Fprintln(env.Stderr, "chutectl:", err)
		return ExitFailed
	}
}

func (s *session) run(args []string) error {
	flags := flag.NewFlagSet("chutectl", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&s.settingsFile, "settings", "", "settings `file` of the deployment")
	flags.StringVar(&s.tokenFile, "token-file", "", "`file` that holds the operator's token; without it "+tokenVariable+" is used")
	flags.StringVar(&s.instance, "instance", "", "`name` of the instance to ask first")
	flags.StringVar(&s.format, "o", formatText, "`form` of the output: text or json")
	timeout := flags.Duration("timeout", defaultTimeout, "longest time for the whole command")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		s.printHelp(flags)
		return nil
	case err != nil:
		return usageError("%v; see chutectl -h", err)
	case s.format != formatText && s.format != formatJSON:
		return usageError("unknown form of output %q; known: text, json", s.format)
	}
	command, rest, err := findCommand(flags.Args())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	s.ctx = ctx
	return s.runCommand(command, rest)
}

// load reads the settings on the first call and returns them.
func (s *session) load() (*settings.Deployment, error) {
	if s.deployment != nil {
		return s.deployment, nil
	}
	if s.settingsFile == "" {
		return nil, usageError("-settings is needed")
	}
	d, err := settings.Load(s.settingsFile)
	if err != nil {
		return nil, err
	}
	s.deployment = d
	return d, nil
}

// token reads the operator's token. Error messages never contain any part of it.
func (s *session) token() (string, error) {
	text := s.Getenv(tokenVariable)
	if s.tokenFile != "" {
		data, err := os.ReadFile(s.tokenFile)
		if err != nil {
			return "", eris.Wrap(err, "read token")
		}
		text = string(data)
	}
	token := strings.TrimSpace(text)
	if token == "" {
		return "", usageError("-token-file or %s is needed", tokenVariable)
	}
	return token, nil
}

// readFile reads a rule set from a file, or from standard input if name is "-".
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(s.Stdin)
		return data, eris.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	return data, eris.Wrap(err, "read rules")
}
