#!/usr/bin/env bash
# Runs one deployment with real processes on this machine: the stand-ins, 7 entries
# and 7 controllers under mixed traffic. Meanwhile it publishes rules, kills one
# instance, stops another, and kills and restarts a controller. The last line is a
# JSON summary; see docs/operators/deployments.md.
#
#   scripts/try.sh kalku-rinda|regnbrunnur [SECONDS]
#
# Requires go, make, bash and the standard core utilities.
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
. scripts/lib/trial.sh

begin_trial try "${1:?usage: scripts/try.sh kalku-rinda|regnbrunnur [SECONDS]}"
seconds=${2:-30}
[ ${#instances[@]} -ge 5 ] || fail "the trial needs 5 instances"
# One engine and one plain service that the platform marks as terminating. Both keep
# running: the stand-ins count new work that reaches them more than 3 s later.
mapfile -t leaving < <(leaving_upstreams)
[ ${#leaving[@]} -eq 2 ] || fail "the sample names no engine or no service"
restarted=${instances[0]} killed=${instances[1]} stopped=${instances[4]}
start_deployment

say "sending mixed traffic for $seconds s"
start load bin/chute-load try -settings "$settings" -control "$control" \
  -seconds "$seconds" -seed 1 -out "$out"
began=$SECONDS

at 20 # percent of the load's duration
say "publishing other rules"
edited_rules
publish_and_time rules publish -note "a rule more" "$run/edited.json"

at 35
say "killing $killed and the controller of $restarted"
printf '%s\n' "$killed" >>"$out/killed"
end KILL "entry/$killed"
end KILL "controller/$killed"
reap "entry/$killed"
reap "controller/$killed"
end KILL "controller/$restarted"
reap "controller/$restarted"
sleep 1
start "controller/$restarted" bin/chute-controller -settings "$settings" -instance "$restarted"
# The platform detects it, and its list shows it after a delay.
list_change "{\"remove\": [\"$killed\"]}"

at 45
say "taking upstreams away: ${leaving[*]}"
for name in "${leaving[@]}"; do list_change "{\"leaving\": [\"$name\"]}"; done

at 50
say "stopping $stopped"
list_change "{\"leaving\": [\"$stopped\"]}"
end TERM "entry/$stopped"
end TERM "controller/$stopped"

at 65
say "moving a rule"
publish_and_time rules move trial -last

say "waiting for $stopped to stop and the load to end"
reap_within 75 "entry/$stopped" "controller/$stopped"
list_change "{\"remove\": [\"$stopped\"]}"
reap_within $((seconds + 120)) load
totals=$(http GET "$control" /totals) || fail "the stand-ins don't answer"
say "stopping everything"
end_all
report
