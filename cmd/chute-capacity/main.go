// Command chute-capacity measures what the system's parts cost as a deployment
// grows, and works out what they would cost at the target size. docs/CAPACITY.md
// shows the results; scripts/capacity.sh runs it all.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// The program's exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// commands maps each subcommand to its function, which gets the arguments
// after its name.
var commands = map[string]func([]string) error{
	"measure": measure,
	"fleet":   fleet,
	"watch":   watch,
	"streams": streams,
	"fit":     fit,
	"merge":   merge,
	"compare": compare,
	"page":    page,
}

func main() {
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: chute-capacity measure|fleet|watch|streams|fit|merge|compare|page [flags]")
		os.Exit(exitUsage)
	}
	err := commands[os.Args[1]](os.Args[2:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "chute-capacity:", err)
		os.Exit(exitFailed)
	}
}
