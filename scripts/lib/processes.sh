# Starts and ends processes for the trial script. It signals only those that it
# started, by their ids.

declare -A pid_of       # by the process's own name
declare -A exit_code_of # of those that have been waited for

# start NAME COMMAND... runs a command in the background; its output goes to
# $logs/NAME.log.
start() {
  local name=$1
  shift
  mkdir -p "$(dirname "$logs/$name")"
  "$@" >>"$logs/$name.log" 2>&1 </dev/null &
  pid_of[$name]=$!
}

# end SIGNAL NAME signals a process that is still known; it doesn't wait.
end() {
  local pid=${pid_of[$2]-}
  [ -n "$pid" ] && kill -s "$1" "$pid" 2>/dev/null
}

# reap NAME waits for a process and notes its exit code.
reap() {
  local code=0
  { wait "${pid_of[$1]}"; } 2>/dev/null || code=$?
  exit_code_of[$1]=$code
  unset "pid_of[$1]"
}

running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }

stopped() { ! running "$1"; }

# wait_up SECONDS NAME ADDRESS PATH waits until a process serves a page. It fails
# at once if the process ends: another one may serve at its address.
wait_up() {
  local end=$((SECONDS + $1))
  until http GET "$3" "$4" >/dev/null && running "$2"; do
    running "$2" && [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# reap_within SECONDS NAME... waits that long for processes to end by
# themselves, then kills those that haven't; their exit code is then 137.
reap_within() {
  local end=$((SECONDS + $1)) name
  shift
  for name; do
    wait_for $((end > SECONDS ? end - SECONDS : 0)) stopped "$name" || end KILL "$name"
    reap "$name"
  done
}

# end_all ends whatever still runs: all but the stand-ins first, as they need
# these to stop in good order.
end_all() {
  local name names=()
  for name in "${!pid_of[@]}"; do
    [ "$name" = standin ] || names+=("$name")
  done
  # A process that a trial froze gets the TERM once it goes on.
  for name in "${names[@]}"; do end TERM "$name" && end CONT "$name"; done
  [ ${#names[@]} -eq 0 ] || reap_within 75 "${names[@]}"
  if [ -n "${pid_of[standin]-}" ]; then
    end TERM standin
    reap_within 5 standin
  fi
}
