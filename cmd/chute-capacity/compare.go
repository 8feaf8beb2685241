package main

import (
	"flag"
	"fmt"
	"os"

	"tamarackchute/internal/capacity"
)

// merge puts the lines of several runs into one file: the files named after the
// flags.
func merge(args []string) error {
	f := flag.NewFlagSet("chute-capacity merge", flag.ContinueOnError)
	out := f.String("out", "", "CSV `file` to write")
	if err := f.Parse(args); err != nil {
		return err
	}
	var runs [][]capacity.Line
	for _, name := range f.Args() {
		lines, err := read(name)
		if err != nil {
			return err
		}
		runs = append(runs, lines)
	}
	return write(*out, capacity.Merge(runs))
}

// compare holds a run's slopes against the intervals kept.
func compare(args []string) error {
	f := flag.NewFlagSet("chute-capacity compare", flag.ContinueOnError)
	kept := f.String("kept", "docs/measurements/capacity.csv", "`file` kept")
	if err := f.Parse(args); err != nil {
		return err
	}
	old, err := read(*kept)
	if err != nil {
		return err
	}
	for _, name := range f.Args() {
		run, err := read(name)
		if err != nil {
			return err
		}
		outside, compared := capacity.Compare(os.Stdout, old, run)
		fmt.Printf("%s: %d of %d slopes and means are within the spread kept\n", name, compared-outside, compared)
	}
	return nil
}
