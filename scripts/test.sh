#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt (one line
# each: test, cause, issue) fail because of a known bug: they are run and printed
# but don't affect the exit code. Any other failure does.
# RAPID_SEED is the seed of the property tests; 0 draws a new one.
set -uo pipefail
cd "$(dirname "$0")/.."

RAPID_SEED=${RAPID_SEED:-20261202}

# The flag -rapid.seed exists only in packages whose tests import rapid.
uses_rapid='{{$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}}{{"\n"}}{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}}{{"\n"}}{{end}}{{end}}'
mapfile -t with_rapid < <(go list -f "$uses_rapid" ./... | sed '/^$/d' | sort -u)
# The soak checks time limits of real processes, so it runs alone, and few sites of it at a time.
soak=$(go list ./internal/soak)
soak_sites=3
# The crowds take all of a process's limits, so they run alone and one after the other.
crowd=$(go list ./internal/crowd)
mapfile -t without_rapid < <(go list ./... | sort | comm -23 - <(printf '%s\n' "${with_rapid[@]}") | grep -vxF -e "$soak" -e "$crowd")

# run_all FLAG... runs `go test` with the flags on all packages.
run_all() {
  local verdict=0
  go test -race -count=1 "$@" "${without_rapid[@]}" || verdict=$?
  go test -race -count=1 "$@" "${with_rapid[@]}" -rapid.seed="$RAPID_SEED" || verdict=$?
  go test -race -count=1 -parallel "$soak_sites" "$@" "$soak" || verdict=$?
  go test -race -count=1 "$@" "$crowd" || verdict=$?
  return "$verdict"
}

known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(grep -vE '^\s*(#|$)' KNOWN-RED.txt | awk '{print $1}')
fi
if [ "${#known[@]}" -gt 3 ]; then
  echo "KNOWN-RED.txt names ${#known[@]} tests; three at most" >&2
  exit 1
fi
if [ "${#known[@]}" -eq 0 ]; then
  run_all
  exit
fi

# A name may include subtests; each of its elements must match exactly.
exact=()
for name in "${known[@]}"; do
  exact+=("^${name//\//\$/^}\$")
done
skip=$(IFS='|'; echo "${exact[*]}")
run_all -skip "$skip"
verdict=$?
echo "== known red, not counted in the verdict:"
cat KNOWN-RED.txt
run_all -run "$skip" | grep -vE 'no test files|no tests to run' || true
exit "$verdict"
