// Package ctl is chutectl, the operators' command line: rules, status, audit trail
// and claims over the operators' addresses of the deployment's instances.
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
	ExitOK ExitCode = iota
	ExitFailed
	ExitUsage
	// ExitConflict: another version than the one edited is in force.
	ExitConflict
	// ExitInvalid: the document has problems.
	ExitInvalid
	// ExitUnknown: the publication may be in force, or may still come.
	ExitUnknown
	ExitUnauthorised
)

// Environment is what the program has of its surroundings.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Getenv         func(string) string
}

// tokenVariable names the environment variable that may hold the token.
const tokenVariable = "CHUTE_TOKEN"

// Forms of output.
const (
	formText = "text"
	formJSON = "json"
)

const defaultTimeout = 30 * time.Second

// session is one run of a command.
type session struct {
	Environment
	form string
	// settingsFile and tokenFile are read when a command first needs them.
	settingsFile, tokenFile string
	instance                string
	// headerLines is how many lines of the operator's file weren't sent, so that
	// problems are told with the lines of the file.
	headerLines int
	deployment  *settings.Deployment
	ctx         context.Context
}

// exitError ends a command with an exit code. An empty message prints nothing.
type exitError struct {
	code    ExitCode
	message string
}

func (e *exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return &exitError{code: ExitUsage, message: fmt.Sprintf(format, args...)}
}

// Run runs the command that args name, without the program's name, and returns
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
	flags.StringVar(&s.form, "o", formText, "`form` of the output: text or json")
	timeout := flags.Duration("timeout", defaultTimeout, "longest time for the whole command")
	switch err := flags.Parse(args); {
	case errors.Is(err, flag.ErrHelp):
		s.printHelp(flags)
		return nil
	case err != nil:
		return usageError("%v; see chutectl -h", err)
	case s.form != formText && s.form != formJSON:
		return usageError("unknown form of output %q; known: text, json", s.form)
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

// load reads the settings once.
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

// token reads the operator's token. No message carries any of it.
func (s *session) token() (string, error) {
	text := s.Getenv(tokenVariable)
	if s.tokenFile != "" {
		data, err := os.ReadFile(s.tokenFile)
		if err != nil {
			return "", eris.Wrap(err, "token can't be read")
		}
		text = string(data)
	}
	token := strings.TrimSpace(text)
	if token == "" {
		return "", usageError("-token-file or %s is needed", tokenVariable)
	}
	return token, nil
}

// readFile reads a rule set; "-" is the standard input.
func (s *session) readFile(name string) ([]byte, error) {
	if name == "-" {
		data, err := io.ReadAll(s.Stdin)
		return data, eris.Wrap(err, "standard input can't be read")
	}
	data, err := os.ReadFile(name)
	return data, eris.Wrap(err, "rules can't be read")
}
