# Starts and stops processes for the trial scripts. It signals only processes that it
# started, by PID.

declare -A pid_of       # by the name given to start
declare -A exit_code_of # of the processes that reap has waited for

# start NAME COMMAND... runs a command in the background and appends its output to
# $logs/NAME.log.
start() {
  local name=$1
  shift
  mkdir -p "$(dirname "$logs/$name")"
  "$@" >>"$logs/$name.log" 2>&1 </dev/null &
  pid_of[$name]=$!
}

# end SIGNAL NAME signals a process that has not been reaped; it doesn't wait.
end() {
  local pid=${pid_of[$2]-}
  [ -n "$pid" ] && kill -s "$1" "$pid" 2>/dev/null
}

# reap NAME waits for a process and records its exit code.
reap() {
  local code=0
  { wait "${pid_of[$1]}"; } 2>/dev/null || code=$?
  exit_code_of[$1]=$code
  unset "pid_of[$1]"
}

running() { kill -0 "${pid_of[$1]}" 2>/dev/null; }

stopped() { ! running "$1"; }

# wait_up SECONDS NAME ADDRESS PATH waits until a process serves a path. It fails
# immediately if the process has ended, since another one may listen on its address.
wait_up() {
  local end=$((SECONDS + $1))
  until http GET "$3" "$4" >/dev/null && running "$2"; do
    running "$2" && [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# reap_within SECONDS NAME... waits for processes to end on their own and kills those
# that haven't after SECONDS; the exit code of these is 137.
reap_within() {
  local end=$((SECONDS + $1)) name
  shift
  for name; do
    wait_for $((end > SECONDS ? end - SECONDS : 0)) stopped "$name" || end KILL "$name"
    reap "$name"
  done
}

# end_all stops all remaining processes. The stand-ins are stopped last, because the
# other processes need them for a graceful shutdown.
end_all() {
  local name names=()
  for name in "${!pid_of[@]}"; do
    [ "$name" = standin ] || names+=("$name")
  done
  # A frozen process handles the TERM signal only after CONT.
  for name in "${names[@]}"; do end TERM "$name" && end CONT "$name"; done
  [ ${#names[@]} -eq 0 ] || reap_within 75 "${names[@]}"
  if [ -n "${pid_of[standin]-}" ]; then
    end TERM standin
    reap_within 5 standin
  fi
}
