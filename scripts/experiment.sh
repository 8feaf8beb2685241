#!/usr/bin/env bash
# Compares role policies and routing on both deployments with real processes on
# this machine. Each run starts the stand-ins, 7 entries and 7 controllers on a
# separate loopback network; several runs are concurrent. Prints a table and writes
# results and plots to a folder. See docs/measurements/role-policy.md.
#
#   scripts/experiment.sh
#
# Environment, with the defaults:
#   OUT=out/experiment  SEEDS="1"  SCALE=10  PARALLEL=6
#   DEPLOYMENTS="kalku-rinda regnbrunnur"  FAULTS="no yes"
#   POLICIES="fixed-round-robin fixed-least-outstanding threshold hindsight-split known-mix gain"
#   EXTRA=1   adds a steady mix, an overload, and a run with the other deployment's
#             change weight
#
# Requires go, make, bash and the standard core utilities.
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
. scripts/lib/http.sh
. scripts/lib/processes.sh

out=${OUT:-out/experiment}
seeds=${SEEDS:-1}
scale=${SCALE:-10}
parallel=${PARALLEL:-6}
deployments=${DEPLOYMENTS:-kalku-rinda regnbrunnur}
faults=${FAULTS:-no yes}
policies=${POLICIES:-fixed-round-robin fixed-least-outstanding threshold hindsight-split known-mix gain}
extra=${EXTRA:-1}

# Smaller engines than the stand-ins' default, so that several fleets fit on one
# machine.
rates=(-prefill-rate 2000 -max-batch 8)
change_s=4
load_lag_s=1 faulty_lag_s=5
# Time for a fleet to start before the load does.
head_start_s=12

say() { printf '%s\n' "== $*"; }

fail() {
  printf 'experiment: %s\n' "$*" >&2
  exit 1
}

divided() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%gs", a / b }'; }

# one_run NUMBER DEPLOYMENT POLICY MIX SEED FAULTS WEIGHT LABEL executes one run. It
# must be called in a subshell.
one_run() {
  local number=$1 deployment=$2 policy=$3 mix=$4 seed=$5 faulty=$6 weight=$7 label=$8
  local dir=$out/$deployment/$mix/faults-$faulty/$label/seed-$seed
  local network=127.$((20 + number % 200)) settings=$dir/run/settings.json lag=$load_lag_s
  local trial=(-policy "$policy" -mix "$mix" -seed "$seed" -scale "$scale" "${rates[@]}")
  logs=$dir/logs
  mkdir -p "$logs"
  trap end_now EXIT
  [ "$faulty" = no ] || trial+=(-faults) lag=$faulty_lag_s
  trial+=(-start "$(($(date +%s) + head_start_s))")
  bin/chute-load prepare -base "deploy/$deployment/settings.json" -out "$dir/run" -network "$network" \
    -change-weight "$weight" "${trial[@]}" >/dev/null || return 1
  start_fleet "$settings" "$network" "$lag" || return 1
  bin/chute-load run -settings "$settings" -control "$network.0.9:7009" -label "$label" -out "$dir" \
    "${trial[@]}" >"$logs/load.log" 2>&1 || return 1
  http GET "$network.0.9:7009" /counters >"$dir/counters.json"
}

# end_now kills a run's processes. This script doesn't test graceful shutdown.
end_now() {
  local name
  for name in "${!pid_of[@]}"; do end KILL "$name"; done
  wait
} 2>/dev/null

# start_fleet SETTINGS NETWORK LAG starts all processes and publishes the rules.
start_fleet() {
  local settings=$1 network=$2 lag=$3 name
  start standin bin/chute-standin -settings "$settings" -control "$network.0.9:7009" -scale "$scale" \
    "${rates[@]}" -change "${change_s}s" -load-lag "$(divided "$lag" "$scale")" -service-latency 5ms
  wait_up 10 standin "$network.0.9:7009" /totals || return 1
  for name in $(grep -o '"name": "entry-[^"]*"' "$settings" | cut -d'"' -f4); do
    start "entry/$name" bin/chute-entry -settings "$settings" -instance "$name"
    start "controller/$name" bin/chute-controller -settings "$settings" -instance "$name"
  done
  wait_for 8 publish "$settings"
}

publish() {
  bin/chutectl -settings "$1" -token-file "$(dirname "$1")/operator.token" \
    rules publish -base none "$(dirname "$1")/rules.json" >>"$logs/publish.log" 2>&1
}

runs=()
# Deployments alternate, so that the runs of one deployment are spread over the whole
# experiment.
for seed in $seeds; do
  for faulty in $faults; do
    for policy in $policies; do
      for deployment in $deployments; do
        runs+=("$deployment $policy shift $seed $faulty 0 $policy")
      done
    done
  done
  [ "$extra" = 1 ] || continue
  for deployment in $deployments; do
    runs+=("$deployment gain steady $seed no 0 gain")
    runs+=("$deployment gain overload $seed no 0 gain")
  done
  # Regnbrunnur's fleet and mix with Kaļķu Rinda's change weight.
  runs+=("regnbrunnur gain shift $seed no 6 gain-weight-6")
done

# Ends the runs in progress when the script ends.
end_runs() {
  local jobs
  jobs=$(jobs -rp)
  # shellcheck disable=SC2086 # one word per process
  [ -z "$jobs" ] || kill $jobs
  wait
} 2>/dev/null
trap end_runs EXIT
trap 'exit 130' INT TERM

say "building"
make -s build || fail "build failed"
rm -rf "$out"
mkdir -p "$out"
say "${#runs[@]} runs, $parallel at once, time scale $scale"
number=0 failed=0
for run in "${runs[@]}"; do
  if [ "$number" -ge "$parallel" ]; then wait -n || failed=$((failed + 1)); fi
  number=$((number + 1))
  # shellcheck disable=SC2086 # a run is a list of words
  (one_run "$number" $run) 2>>"$out/errors.log" || {
    printf 'run failed: %s\n' "$run" >>"$out/errors.log"
    exit 1
  } &
  sleep 0.5
done
while [ -n "$(jobs -rp)" ]; do wait -n || failed=$((failed + 1)); done
say "time scale $scale: a shift of 20 minutes ran in $(awk -v s="$scale" 'BEGIN { printf "%g", 20 / s }')"
bin/chute-load table -in "$out" | tee "$out/table.txt"
[ "$failed" -eq 0 ] || { cat "$out/errors.log"; fail "$failed runs failed"; }
