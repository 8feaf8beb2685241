# Functions shared by the trial scripts, which run in the repository's root.
. scripts/lib/http.sh
. scripts/lib/processes.sh

say() { printf '%s\n' "== $*"; }

fail() {
  printf 'try: %s; logs are in %s\n' "$*" "${logs-}" >&2
  exit 1
}

# begin_trial KIND DEPLOYMENT recreates the folder out/KIND/DEPLOYMENT, builds the
# programs and prepares the settings. All processes end with the script.
begin_trial() {
  source_dir=deploy/$2
  [ -f "$source_dir/settings.json" ] || fail "no deployment in $source_dir"
  out=out/$1/$2
  logs=$out/logs
  run=$out/run # the copy of the settings and the trial's secrets
  rm -rf "$out"
  mkdir -p "$logs" "$run"
  trap 'trap - EXIT INT TERM; end_all' EXIT
  trap 'exit 130' INT TERM
  say "building"
  make -s build || fail "build failed"
  prepare_settings
  read_settings
}

# start_deployment starts all processes and publishes the initial rules.
start_deployment() {
  local name
  say "starting the stand-ins, ${#instances[@]} entries and ${#instances[@]} controllers"
  start standin bin/chute-standin -settings "$settings" -control "$control"
  wait_up 10 standin "$control" /totals || fail "the stand-ins don't start"
  for name in "${instances[@]}"; do start_instance "$name"; done
  for name in "${instances[@]}"; do
    wait_up 20 "entry/$name" "${callers[$name]}" /readyz || fail "the entry on $name isn't ready"
    wait_up 20 "controller/$name" "${controllers[$name]}" /readyz || fail "the controller on $name isn't ready"
  done
  publish_and_time rules publish -base none -note "first rules" "$run/rules.json"
}

random_hex() { od -An -N24 -tx1 /dev/urandom | tr -d ' \n'; }

# prepare_settings copies the sample settings and generates the peers' secret and the
# operators' token for this trial. The repository holds neither.
prepare_settings() {
  settings=$run/settings.json
  token=$(random_hex)
  local hash
  hash=$(printf %s "$token" | sha256sum)
  hash=${hash%% *}
  (umask 077 && random_hex >"$run/peer.secret" && printf %s "$token" >"$run/operator.token")
  # The first operator in the sample gets the trial's token.
  sed "s/0\{63\}1\"/$hash\"/" "$source_dir/settings.json" >"$settings"
  cp "$source_dir/rules.json" "$run/rules.json"
}

# read_settings reads the instances and their addresses from the copy. It relies on
# the sample's format of one key per line.
read_settings() {
  declare -gA callers operators controllers
  instances=()
  local key value name=
  while IFS='"' read -r _ key _ value _; do
    case $key in
    name) name=$value ;;
    callers) instances+=("$name") callers[$name]=$value ;;
    operators) [[ $value != *:* ]] || operators[$name]=$value ;;
    controller_operators) controllers[$name]=$value ;;
    log) [[ $value != *:* ]] || log=$value control=${value%:*}:7009 ;;
    instances) [[ $value != *:* ]] || list=$value ;;
    esac
  done <"$settings"
  model=$(sed -nE 's/.*"models": \["([^"]+)".*/\1/p' "$settings" | head -n 1)
}

# leaving_upstreams prints the last engine and the last plain service of the sample.
leaving_upstreams() {
  local kind
  for kind in engine service; do
    sed -nE "s/.*\"name\": \"([^\"]+)\", \"kind\": \"$kind\".*/\1/p" "$settings" | tail -n 1
  done
}

start_instance() {
  start "controller/$1" bin/chute-controller -settings "$settings" -instance "$1"
  start "entry/$1" bin/chute-entry -settings "$settings" -instance "$1"
}

# at PERCENT waits until that share of the load's duration has passed.
at() {
  local when=$((began + seconds * $1 / 100))
  while [ "$SECONDS" -lt "$when" ]; do sleep 0.1; done
}

# at_second N waits until N seconds have passed since the start of the load.
at_second() {
  while [ "$SECONDS" -lt $((began + $1)) ]; do sleep 0.1; done
}

list_change() { http POST "$list" /faults "$1" >/dev/null || fail "the list's stand-in refuses"; }

now_ms() { local t=${EPOCHREALTIME/./}; echo $((t / 1000)); }

chutectl() { bin/chutectl -settings "$settings" -token-file "$run/operator.token" "$@"; }

# live prints the instances whose entries are running.
live() {
  local name
  for name in "${instances[@]}"; do
    if [ -n "${pid_of[entry/$name]-}" ] && running "entry/$name"; then printf '%s\n' "$name"; fi
  done
}

in_force_on() {
  http GET "${operators[$1]}" /v1/status "" "$token" | json_value in_force
}

# wait_in_force VERSION waits until the version is in force on all live entries.
wait_in_force() {
  local version=$1 name end=$((SECONDS + 20))
  for name in $(live); do
    until [ "$(in_force_on "$name")" = "$version" ]; do
      # An entry that ends meanwhile is no longer live.
      running "entry/$name" || break
      [ "$SECONDS" -lt "$end" ] || return 1
      sleep 0.02
    done
  done
}

in_force_ms=()

# publish_and_time COMMAND... publishes with a chutectl command and records the time
# from its start until the new version is in force on all live entries.
publish_and_time() {
  local from version
  from=$(now_ms)
  version=$(chutectl -o json "$@" | json_value version)
  [ -n "$version" ] || fail "publishing failed: $*"
  wait_in_force "$version" || fail "version $version isn't in force everywhere after 20 s"
  in_force_ms+=($(($(now_ms) - from)))
}

# edited_rules writes the rules in force, preceded by one more, to a file.
edited_rules() {
  local rule='{"name": "trial", "when": "header(\\"X-Trial\\") != \\"\\"", '
  rule+='"then": {"refuse": {"status": 403, "reason": "trial"}}},'
  chutectl rules get | sed "s|\"rules\": \[|&$rule|" >"$run/edited.json"
}

# expect NAME VALUE WANTED records a failure if the values differ.
expect() {
  [ "$2" = "$3" ] && return
  off+=("$1 is ${2:-missing}, not $3")
}

# expect_zeros records a failure for each counter of the load and the stand-ins that
# must be 0 but isn't.
expect_zeros() {
  local name
  for name in wrong_answer cut_by_planned_stop ran_twice not_run_but_ran; do
    expect "$name" "$(json_value "$name" <<<"$load_line")" 0
  done
  for name in cut_by_order conflicting_orders outdated_orders_taken work_after_leaving; do
    expect "$name" "$(json_value "$name" <<<"$totals")" 0
  done
}

# expect_exit_codes NAME... records a failure for each process with a non-zero exit
# code, except those named.
expect_exit_codes() {
  local name
  for name in "${!exit_code_of[@]}"; do
    [[ " $* " == *" $name "* ]] || expect "exit code of $name" "${exit_code_of[$name]}" 0
  done
}

# report prints the results; the last line is a JSON summary. It fails if a counter
# that must be 0 isn't, or if a process that wasn't killed ended with a non-zero code.
report() {
  local load_line name slowest=0 ms off=()
  load_line=$(tail -n 1 "$logs/load.log")
  for ms in "${in_force_ms[@]}"; do [ "$ms" -le "$slowest" ] || slowest=$ms; done
  expect_zeros
  expect_exit_codes "entry/$killed" "controller/$killed"
  for name in "${off[@]}"; do say "WRONG: $name"; done
  [[ $load_line == {*} ]] || fail "the load printed no figures"
  printf '%s,"rules_in_force_ms":%d,"stopped_exit_code":%d,"log_appends":%s,"work_after_leaving":%s,"faults":%d}\n' \
    "${load_line%\}}" "$slowest" "${exit_code_of[entry/$stopped]}" \
    "$(json_value log_appends <<<"$totals")" "$(json_value work_after_leaving <<<"$totals")" "${#off[@]}"
  [ ${#off[@]} -eq 0 ]
}
