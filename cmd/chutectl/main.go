// Command chutectl is the operators' command line tool. It manages rules and claims,
// shows status and the audit trail, and analyses the daemons' logs.
package main

import (
	"os"

	"tamarackchute/internal/ctl"
)

func main() {
	os.Exit(int(ctl.Run(os.Args[1:], ctl.Environment{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
	})))
}
