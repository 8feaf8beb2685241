#!/usr/bin/env bash
# Runs all tests with the race detector. Tests named in KNOWN-RED.txt (one line
# each: test, cause, issue) are known to fail for a fault not mended yet: they
# are run, printed, and don't decide the verdict. Any other failure does.
set -uo pipefail
cd "$(dirname "$0")/.."

known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(grep -vE '^\s*(#|$)' KNOWN-RED.txt | awk '{print $1}')
fi
if [ "${#known[@]}" -gt 3 ]; then
  echo "KNOWN-RED.txt names ${#known[@]} tests; three at most" >&2
  exit 1
fi
if [ "${#known[@]}" -eq 0 ]; then
  exec go test -race -count=1 ./...
fi

skip=$(IFS='|'; echo "^(${known[*]})\$")
go test -race -count=1 -skip "$skip" ./...
verdict=$?
echo "== known red, not counted in the verdict:"
cat KNOWN-RED.txt
go test -race -count=1 -run "$skip" ./... | grep -vE 'no test files|no tests to run' || true
exit "$verdict"
