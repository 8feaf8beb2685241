#!/usr/bin/env bash
# Measures what the system's parts cost as a deployment grows: first within one
# process at sizes up to the target's, then with real processes on this machine,
# at most 15 of them at a time. Writes the lines to a CSV file and says which of
# them lie outside the spread kept in docs/measurements/capacity.csv, which it
# leaves as it is. docs/CAPACITY.md explains the figures.
#
#   scripts/capacity.sh
#
# Environment, with the defaults:
#   OUT=out/capacity  ROUNDS=3  WINDOW=4s  PARTS="decisions idle streams"
#
# Needs go, make, bash and the usual core utilities.
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
. scripts/lib/http.sh
. scripts/lib/processes.sh

out=${OUT:-out/capacity}
rounds=${ROUNDS:-3}
window=${WINDOW:-4s}
parts=" ${PARTS:-decisions idle streams} "
samples=$out/samples.csv
# What a fleet needs to find its leaders and to come to rest.
settle_s=6
network=127.60

say() { printf '%s\n' "== $*"; }

fail() {
  printf 'capacity: %s; logs are in %s\n' "$*" "$out" >&2
  exit 1
}

random_hex() { od -An -N24 -tx1 /dev/urandom | tr -d ' \n'; }

# kill_all kills what still runs: graceful stops are measured elsewhere.
kill_all() {
  local name
  for name in "${!pid_of[@]}"; do end KILL "$name"; done
  for name in "${!pid_of[@]}"; do reap "$name"; done
} 2>/dev/null

trap 'trap - EXIT INT TERM; kill_all' EXIT
trap 'exit 130' INT TERM

# new_fleet INSTANCES ENGINES [STANDIN FLAGS...] starts a made-up deployment.
new_fleet() {
  local token hash
  token=$(random_hex)
  hash=$(printf %s "$token" | sha256sum)
  settings=$(bin/chute-capacity fleet -out "$out/fleet" -instances "$1" -engines "$2" -network "$network" \
    -secret "$(random_hex)" -operator-hash "${hash%% *}") || fail "no settings"
  (umask 077 && printf %s "$token" >"$out/fleet/operator.token")
  start_all "$network.0.9:7009" "${@:3}"
}

# sample_deployment NAME starts a sample deployment as it is, with secrets of
# this run alone.
sample_deployment() {
  local token hash
  token=$(random_hex)
  hash=$(printf %s "$token" | sha256sum)
  hash=${hash%% *}
  rm -rf "$out/$1"
  mkdir -p "$out/$1"
  settings=$out/$1/settings.json
  (umask 077 && random_hex >"$out/$1/peer.secret" && printf %s "$token" >"$out/$1/operator.token")
  # Addresses of its own, as a trial of the sample may be under way.
  sed "s/0\{63\}1\"/$hash\"/; s/\"127\.1\([0-9]\)\./\"127.6\1./" "deploy/$1/settings.json" >"$settings"
  cp "deploy/$1/rules.json" "$out/$1/rules.json"
  start_all "$network.0.9:7009"
}

# start_all CONTROL [STANDIN FLAGS...] starts the processes of $settings and
# publishes the rules beside them.
start_all() {
  control=$1
  shift
  local name
  logs=$out/logs
  start standin bin/chute-standin -settings "$settings" -control "$control" "$@"
  wait_up 10 standin "$control" /totals || fail "the stand-ins don't start"
  for name in $(grep -o '"name": "entry-[^"]*"' "$settings" | cut -d'"' -f4); do
    start "controller/$name" bin/chute-controller -settings "$settings" -instance "$name"
    start "entry/$name" bin/chute-entry -settings "$settings" -instance "$name"
  done
  wait_for 15 publish || fail "the rules can't be published"
  sleep "$settle_s"
}

publish() {
  bin/chutectl -settings "$settings" -token-file "$(dirname "$settings")/operator.token" \
    rules publish -base none "$(dirname "$settings")/rules.json" >>"$logs/publish.log" 2>&1
}

# watch SERIES SIZE measures all processes while nothing asks them for anything.
watch() {
  local name named=()
  for name in "${!pid_of[@]}"; do
    [ "$name" = standin ] || named+=("$name=${pid_of[$name]}")
  done
  bin/chute-capacity watch -settings "$settings" -token-file "$(dirname "$settings")/operator.token" \
    -control "$control" -samples "$samples" \
    -series "$1" -size "$2" -windows "$rounds" -window "$window" "${named[@]}" || fail "$1 $2"
}

# streams FLAGS... measures the only entry of a fleet under streams.
streams() {
  local name=entry-data-centre-0-0
  bin/chute-capacity streams -entry "$network.1.1:8080" -pid "${pid_of[entry/$name]}" \
    -samples "$samples" -rounds "$rounds" "$@" || fail "streams"
}

idle_processes() {
  local n
  for n in kalku-rinda regnbrunnur; do
    say "$n as it is, idle"
    sample_deployment "$n"
    watch "${n//-/_}" 1
    kill_all
  done
  for n in 1 3 5 7; do
    say "$n instances, 8 engines, idle"
    new_fleet "$n" 8
    watch instances "$n"
    kill_all
  done
  for n in 4 16 64 200; do
    say "3 instances, $n engines, idle"
    new_fleet 3 "$n"
    watch engines "$n"
    kill_all
  done
}

stream_processes() {
  say "streams of some lengths through one entry"
  new_fleet 1 4 -scale 10
  streams
  kill_all
  say "streams held open at one entry"
  new_fleet 1 4 -max-batch 4096 -step-first 500ms -step-full 500ms -kv-tokens 1000000000
  streams -open
  kill_all
}

say "building"
make -s build || fail "build failed"
go build -o bin/chute-capacity ./cmd/chute-capacity || fail "build failed"
rm -rf "$out"
mkdir -p "$out"
runs=()
if [[ $parts == *" decisions "* ]]; then
  say "one process, up to the target's sizes"
  bin/chute-capacity measure -rounds "$rounds" -out "$out/decisions.csv" || fail "measure"
  runs+=("$out/decisions.csv")
fi
[[ $parts != *" idle "* ]] || idle_processes
[[ $parts != *" streams "* ]] || stream_processes
if [ -f "$samples" ]; then
  bin/chute-capacity fit -samples "$samples" -out "$out/processes.csv" || fail "fit"
  runs+=("$out/processes.csv")
fi
bin/chute-capacity merge -out "$out/capacity.csv" "${runs[@]}" || fail "merge"
say "the figures are in $out/capacity.csv"
bin/chute-capacity compare "$out/capacity.csv"
