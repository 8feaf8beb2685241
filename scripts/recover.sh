#!/usr/bin/env bash
# Measures how soon an instance without state serves after a start: an entry is
# killed and restarted five times with the log up and five times with it down. The
# last line is a JSON summary with the longest times in ms from the start of the
# process to the first complete response of a model.
#
#   scripts/recover.sh kalku-rinda|regnbrunnur
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
. scripts/lib/trial.sh

begin_trial recover "${1:?usage: scripts/recover.sh kalku-rinda|regnbrunnur}"
start_deployment
name=${instances[1]}
rounds=5
limit=2000 # ms

answers() {
  http POST "${callers[$name]}" /v1/completions \
    "{\"model\": \"$model\", \"prompt\": \"how sour is the soil\", \"max_tokens\": 1}" >/dev/null
}

# slowest_start sets slowest to the longest time to the first response.
slowest_start() {
  local from took
  slowest=0
  for ((round = 0; round < rounds; round++)); do
    end KILL "entry/$name"
    reap "entry/$name"
    from=$(now_ms)
    start "entry/$name" bin/chute-entry -settings "$settings" -instance "$name"
    until answers; do
      [ $(($(now_ms) - from)) -lt 20000 ] || fail "no answer after 20 s"
      sleep 0.01
    done
    took=$(($(now_ms) - from))
    say "first answer after $took ms"
    [ "$took" -le "$slowest" ] || slowest=$took
  done
}

say "with the log up"
slowest_start
up=$slowest
say "with the log down"
http POST "$log" /faults '{"outage": "down"}' >/dev/null || fail "the log's stand-in refuses"
slowest_start
down=$slowest
http POST "$log" /faults '{"outage": ""}' >/dev/null || fail "the log's stand-in refuses"
end_all
printf '{"log_up_ms":%d,"log_down_ms":%d,"limit_ms":%d}\n' "$up" "$down" "$limit"
[ "$up" -le "$limit" ] && [ "$down" -le "$limit" ]
