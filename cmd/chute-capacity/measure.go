package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"tamarackchute/internal/capacity"
)

// defaultRounds is how often each size is measured.
const defaultRounds = 5

// measure runs the experiments within this process and writes their lines.
func measure(args []string) error {
	f := flag.NewFlagSet("chute-capacity measure", flag.ContinueOnError)
	out := f.String("out", "", "CSV `file` to write")
	rounds := f.Int("rounds", defaultRounds, "how often each size is measured")
	only := f.String("only", "", "only experiments whose id begins with this `text`")
	if err := f.Parse(args); err != nil {
		return err
	}
	var lines []capacity.Line
	for _, e := range capacity.Catalogue() {
		if !strings.HasPrefix(e.ID, *only) {
			continue
		}
		samples, err := e.Run(*rounds)
		if err != nil {
			return err
		}
		measured := e.Lines(samples)
		for _, l := range measured {
			if l.Kind != capacity.KindPoint {
				fmt.Println(l)
			}
		}
		lines = append(lines, measured...)
	}
	return write(*out, lines)
}

// write writes lines to a file; an empty name writes nothing.
func write(name string, lines []capacity.Line) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := capacity.WriteLines(file, lines); err != nil {
		return err
	}
	return file.Close()
}
