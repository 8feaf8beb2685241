// Command chutectl is for operators: rules, status and audit trail.
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
