#!/usr/bin/env bash
# Runs one deployment with real processes under many faults, some of them concurrent:
# frozen, killed and partitioned processes, lost replies, late appends and outages of
# the platform's log, an outage of its list, concurrent publishers, crashes of engines
# and services, and a request that crashes engines. The last line is a JSON summary;
# docs/measurements/faults.md lists the faults.
#
#   scripts/faults.sh kalku-rinda|regnbrunnur [SECONDS]
#
# Requires go, make, bash and the standard core utilities.
set -uo pipefail
export LC_ALL=C
cd "$(dirname "$0")/.."
. scripts/lib/trial.sh
. scripts/lib/versions.sh
. scripts/lib/faults.sh

begin_trial faults "${1:?usage: scripts/faults.sh kalku-rinda|regnbrunnur [SECONDS]}"
seconds=${2:-80}
[ "$seconds" -ge 80 ] || fail "the faults take 80 s"
[ ${#instances[@]} -ge 6 ] || fail "the trial needs 6 instances"
frozen=${instances[0]} killed=${instances[1]} cut=${instances[3]}
sound=("${instances[2]}" "${instances[4]}" "${instances[5]}")
asked=${sound[0]}
mapfile -t engines < <(upstreams engine)
mapfile -t services < <(upstreams service)
protected=$(protected_path)
publish_rounds=0 one_winner=0 off=()
start_deployment
start_watching

say "sending mixed traffic for $seconds s"
start load bin/chute-load try -settings "$settings" -control "$control" \
  -seconds "$seconds" -seed 1 -out "$out"
began=$SECONDS

at_second 5
say "freezing the entry on $frozen for 4 s"
start fault/entry freeze "entry/$frozen" 4

at_second 7
# The next leader's first orders get no reply and reach the engines late.
for name in "${engines[@]}"; do
  fault "$name" '{"lose_order_reply": {"next": 1}, "late_order": {"next": 1}, "late_order_ms": 5000}'
done
scope=$(scopes | grep -E '/fenced$' | head -n 1)
leader=$(leader_of "$scope")
[ -n "$leader" ] || fail "nobody leads"
[ "$leader" != "$asked" ] || asked=${sound[1]}
say "freezing the controller on $leader, which leads $scope, for 7 s"
start fault/controller freeze "controller/$leader" 7

at_second 10
say "the log loses replies, and appends land late, for 8 s"
fault log '{"lose_reply": {"fraction": 0.2}, "land_late": {"fraction": 0.1}, "land_late_ms": 700}'

at_second 13
next_leader=$(leader_of "$scope")
say "$scope is led by ${next_leader:-nobody} while $leader is frozen"
say "publishers racing, ten rounds"
for ((round = 1; round <= 10; round++)); do
  publish_race "$round" "${sound[0]}" "${sound[2]}"
  [ "$round" != 3 ] || start fault/engine fault "${engines[1]}" '{"crash": {"down_ms": 4000}}'
  [ "$SECONDS" -lt $((began + 18)) ] || fault log '{"lose_reply": {}, "land_late": {}}'
done
at_second 18
fault log '{"lose_reply": {}, "land_late": {}}'

at_second 20
# The lease of an unfenced scope must not pass to another leader by expiry: the engines
# would also accept orders of the old leader after it resumes.
unfenced=$(scopes | grep -E '/unfenced$' | head -n 1)
unfenced_leader=
if [ -n "$unfenced" ]; then
  unfenced_leader=$(leader_of "$unfenced")
  say "freezing the controller on $unfenced_leader, which leads $unfenced, for 9 s"
  start fault/unfenced freeze "controller/$unfenced_leader" 9
  at_second 28
  unfenced_then=$(leader_of "$unfenced")
fi

at_second 34
say "cutting the entry on $cut off from the log for 10 s"
fault log "{\"blocked\": [\"$cut/entry\"]}"
base=$(in_force_on "$asked")
publish_on "$asked" "$base" cut-1
say "sending a request that crashes engines"
send_poison first 9 "${sound[@]}"
sound_crashes=$poison_crashes sound_refused=$poison_refused
say "$sound_crashes engines crashed; $sound_refused sends of 9 refused as quarantined"
# A second one reaches the entry that can't report it to the others.
send_poison second 3 "$cut"
cut_crashes=$poison_crashes
say "another: $cut_crashes engines crashed by 3 sends to $cut"
send_poison second 6 "${sound[@]}"
say "then $poison_crashes by 6 sends to the others"
both_crashes=$((cut_crashes + poison_crashes))
at_second 44
publish_on "$asked" "$(in_force_on "$asked")" cut-2
version=$(json_value version <"$run/cut-2.answer") || fail "publishing failed while $cut was cut off"
say "$cut is back; it has $(in_force_on "$cut"), in force is $version"
fault log '{"blocked": []}'
rejoin_ms=$(rejoin "$cut" "$version")

at_second 47
say "an engine crashes; the log is down for 15 s"
fault "${engines[0]}" '{"crash": {"down_ms": 5000}}'
fault log '{"outage": "close"}'
version=$(in_force_on "$asked")
start fault/publish-1 publish_on "$asked" "$version" outage-1
at_second 49
say "killing the entry on $killed, and starting it again"
printf '%s\n' "$killed" >>"$out/killed"
end KILL "entry/$killed"
reap "entry/$killed"
booked=("${sound[@]}" "$frozen" "$cut")
for name in "${booked[@]}"; do book "outage-$name" "$name" >"$run/outage-$name" & done
start "entry/$killed" bin/chute-entry -settings "$settings" -instance "$killed"
at_second 51
say "killing it again"
end KILL "entry/$killed"
reap "entry/$killed"
start "entry/$killed" bin/chute-entry -settings "$settings" -instance "$killed"
at_second 54
say "the list is down too, for 10 s; the log's outage goes on in silence"
fault list '{"outage": "error"}'
fault log '{"outage": "hang"}'
for name in "${booked[@]}"; do book "silent-$name" "$name" >"$run/silent-$name" & done
start fault/publish-2 publish_on "$asked" "$version" outage-2 -timeout 4s
at_second 60
say "the entry on ${sound[1]} is frozen for 5 s while the log comes back"
start fault/second freeze "entry/${sound[1]}" 5
at_second 62
fault log '{"outage": ""}'
at_second 64
fault list '{"outage": ""}'

at_second 67
say "services crash after running"
for name in "${services[@]}"; do fault "$name" '{"crash_after": {"next": 2}, "restart_ms": 500}'; done

say "waiting for the load to end"
reap_within $((seconds + 120)) load
told_wrong=0
for name in outage-1 outage-2; do told_wrong "$name" && told_wrong=$((told_wrong + 1)); done
outage_not_refused=0 outage_ran=0
for name in "${booked[@]}"; do
  for kind in outage silent; do
    got=$(outcome <"$run/$kind-$name")
    if [ "$got" != not-run ]; then
      outage_not_refused=$((outage_not_refused + 1))
      say "a booking in the outage at $name got $got"
    fi
  done
done
say "sending those bookings again: none may have run before"
for name in "${booked[@]}"; do
  for kind in outage silent; do
    before=$(counted keys)
    answer=$(book "$kind-$name" "$asked")
    # A response that the call ran, without a new key at the services, is of a run during
    # the outage.
    if [ "$(outcome <<<"$answer")" = ran ] && [ "$(counted keys)" = "$before" ]; then
      outage_ran=$((outage_ran + 1))
      say "a booking refused in the outage at $name had run"
    fi
  done
done
say "a service crashes after running a call, which is sent again"
for name in "${services[@]}"; do fault "$name" '{"crash_after": {"next": 1}}'; done
crash_first=$(book after-load "$asked" | outcome)
for name in "${services[@]}"; do fault "$name" '{"crash_after": {"next": 0}}'; done
crash_resends_ran=0
for name in "${instances[@]}"; do
  [ "$(book after-load "$name" | outcome)" != ran ] || crash_resends_ran=$((crash_resends_ran + 1))
done

totals=$(http GET "$control" /totals) || fail "the stand-ins don't answer"
say "stopping everything"
stop_watching
end_all
count_reverts

load_line=$(tail -n 1 "$logs/load.log")
expect_zeros
expect "ran_twice at the end" "$(json_value ran_twice <<<"$totals")" 0
expect_exit_codes
expect version_reverts "$version_reverts" 0
[ "$fewest_versions" -ge 5 ] || off+=("an entry was watched at $fewest_versions versions only")
expect "rounds with one winner" "$one_winner" "$publish_rounds"
expect "publications in the outage told wrong" "$told_wrong" 0
[ -z "$unfenced" ] || expect "the leader of $unfenced while frozen" "$unfenced_then" "$unfenced_leader"
expect "bookings in the outage that weren't refused" "$outage_not_refused" 0
expect "bookings refused in the outage that had run" "$outage_ran" 0
[ "$sound_refused" -ge 6 ] || off+=("poison_refused is $sound_refused of 9 sends")
expect "the answer to the call whose service crashed" "$crash_first" may-have-run
expect "its resends that were answered as run" "$crash_resends_ran" 0
[ "$rejoin_ms" -le 3000 ] || off+=("rejoin_ms is $rejoin_ms, more than 3000")
[ "$sound_crashes" -le 2 ] || say "NOTE: the poisonous request crashed $sound_crashes engines, not two"
[ "$sound_crashes" -le 3 ] || off+=("poison_crashes is $sound_crashes, more than 3")
[ "$cut_crashes" -le 2 ] || off+=("the entry that was cut off let $cut_crashes engines crash, more than 2")
# Each side of a partition detects the request independently.
[ "$both_crashes" -le 2 ] || say "NOTE: on both sides of the partition $both_crashes engines crashed, not two"
[ "$both_crashes" -le 4 ] || off+=("poison_crashes_partition is $both_crashes, more than 4")
for name in "${off[@]}"; do say "WRONG: $name"; done
[[ $load_line == {*} ]] || fail "the load printed no figures"
printf '%s,"publish_rounds":%d,"one_winner":%d,"version_reverts":%d,"rejoin_ms":%d,"poison_refused":%d,"poison_crashes":%d,"poison_crashes_partition":%d,' \
  "${load_line%\}}" "$publish_rounds" "$one_winner" "$version_reverts" "$rejoin_ms" "$sound_refused" "$sound_crashes" "$both_crashes"
printf '"outage_bookings":%d,"lease_passed":%s,"stand_ins":%s,"faults":%d}\n' \
  $((2 * ${#booked[@]})) "$([ -n "$next_leader" ] && [ "$next_leader" != "$leader" ] && echo true || echo false)" "$totals" "${#off[@]}"
[ ${#off[@]} -eq 0 ]
