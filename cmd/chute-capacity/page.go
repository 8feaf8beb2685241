package main

import (
	"flag"
	"os"

	"tamarackchute/internal/capacity"
)

// page works the tables of a document out anew from the measured lines.
func page(args []string) error {
	f := flag.NewFlagSet("chute-capacity page", flag.ContinueOnError)
	csv := f.String("csv", "docs/measurements/capacity.csv", "`file` with the measured lines")
	document := f.String("document", "docs/CAPACITY.md", "`file` whose tables are replaced")
	if err := f.Parse(args); err != nil {
		return err
	}
	lines, err := read(*csv)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(*document)
	if err != nil {
		return err
	}
	replaced, err := capacity.ReplaceTables(string(text), capacity.NewMeasured(lines))
	if err != nil {
		return err
	}
	return os.WriteFile(*document, []byte(replaced), 0o644)
}

func read(name string) ([]capacity.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return capacity.ReadLines(file)
}
