# Rule versions in a trial: monitored on every entry throughout, and published
# concurrently by two operators.

# version_less A B succeeds if version A is older than B; a version is "offset.index".
version_less() {
  local a=${1%.*} b=${2%.*}
  [ "$a" -lt "$b" ] || { [ "$a" -eq "$b" ] && [ "${1#*.}" -lt "${2#*.}" ]; }
}

# watch_versions NAME records each new version in force on an entry, one per line with
# the time, until the file stop_watching exists. An entry that has no version yet after
# a start is ignored.
watch_versions() {
  local now before=
  while [ ! -e "$run/stop_watching" ]; do
    now=$(in_force_on "$1")
    if [ -n "$now" ] && [ "$now" != none ] && [ "$now" != "$before" ]; then
      printf '%s %s\n' "$(now_ms)" "$now" >>"$out/versions/$1"
      before=$now
    fi
    sleep 0.1
  done
}

start_watching() {
  local name
  mkdir -p "$out/versions"
  for name in "${instances[@]}"; do start "watch/$name" watch_versions "$name"; done
}

stop_watching() {
  local name
  : >"$run/stop_watching"
  for name in "${instances[@]}"; do reap_within 10 "watch/$name"; done
}

# count_reverts sets version_reverts to the number of times that an entry had an older
# version than before, also across restarts of its process. It sets fewest_versions to
# the lowest number of versions recorded on an entry, to detect that nothing changed.
count_reverts() {
  local name now before seen
  version_reverts=0 fewest_versions=1000000
  for name in "${instances[@]}"; do
    before=0.0 seen=0
    while read -r _ now; do
      if version_less "$now" "$before"; then
        version_reverts=$((version_reverts + 1))
        say "$name went back from $before to $now"
      fi
      before=$now seen=$((seen + 1))
    done <"$out/versions/$name"
    [ "$seen" -ge "$fewest_versions" ] || fewest_versions=$seen
  done
}

# rules_with NAME FILE writes the initial rules, preceded by a rule of that name.
rules_with() {
  local rule="{\"name\": \"$1\", \"when\": \"header(\\\\\"X-Trial\\\\\") == \\\\\"$1\\\\\"\", "
  rule+='"then": {"refuse": {"status": 403, "reason": "trial"}}},'
  sed "s|\"rules\": \[|&$rule|" "$run/rules.json" >"$2"
}

# publish_on INSTANCE BASE RULE [OPTION...] publishes through an instance first. It
# saves the exit code and the output under the rule's name, which is also the note.
publish_on() {
  local code=0
  rules_with "$3" "$run/$3.json"
  chutectl -o json "${@:4}" -instance "$1" rules publish -base "$2" -note "$3" "$run/$3.json" \
    >"$run/$3.answer" 2>>"$logs/publish.log" || code=$?
  printf '%s\n' "$code" >"$run/$3.code"
}

# publish_race ROUND INSTANCE INSTANCE lets two operators publish concurrently on the
# same base. It increments publish_rounds; and one_winner if one succeeds, the other
# gets a conflict, and the winner's version is newer and in force on all live entries.
publish_race() {
  local base codes winner="" name
  base=$(in_force_on "$2")
  publish_rounds=$((publish_rounds + 1))
  publish_on "$2" "$base" "race-$1-a" &
  local first=$!
  publish_on "$3" "$base" "race-$1-b" &
  wait "$first" "$!"
  codes="$(<"$run/race-$1-a.code") $(<"$run/race-$1-b.code")"
  case $codes in
  "0 3") name=race-$1-a ;;
  "3 0") name=race-$1-b ;;
  *) say "round $1: exit codes $codes" && return ;;
  esac
  winner=$(json_value version <"$run/$name.answer")
  if ! version_less "$base" "$winner"; then
    say "round $1: $winner isn't newer than $base"
  elif ! wait_in_force "$winner"; then
    say "round $1: $winner isn't in force everywhere"
  else
    one_winner=$((one_winner + 1))
  fi
}

# told_wrong RULE succeeds if the exit code of a publication contradicts the history.
# Code 5 means an unknown outcome; after code 1 it must not have been accepted.
told_wrong() {
  local code verdict
  code=$(<"$run/$1.code")
  verdict=$(chutectl -o json rules history -n 50 | tr -d ' \n' |
    grep -oE "\"outcome\":\"[a-z]+\"[^{}]*\"note\":\"$1\"" | head -n 1)
  verdict=${verdict#*:\"}
  say "publication $1: exit code $code, in the history: ${verdict%%\"*}"
  case $code/${verdict%%\"*} in
  0/accepted | 1/ | 1/conflict | 3/conflict | 5/*) return 1 ;;
  esac
}
