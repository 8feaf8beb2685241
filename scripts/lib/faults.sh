# Fault injection for a trial, and requests that run into the faults.

# fault COMPONENT JSON sets faults of one stand-in.
fault() { http POST "$control" "/parts/$1/faults" "$2" >/dev/null || fail "the stand-ins refuse a fault of $1"; }

# upstreams KIND prints the names of all engines or services.
upstreams() { sed -nE "s/.*\"name\": \"([^\"]+)\", \"kind\": \"$1\".*/\1/p" "$settings"; }

# protected_path prints the path of the first protected rule.
protected_path() { sed -nE 's/.*path startsWith \\"([^\\]+)\\".*/\1/p' "$run/rules.json" | head -n 1; }

# freeze NAME SECONDS pauses a process and then resumes it.
freeze() {
  end STOP "$1"
  sleep "$2"
  end CONT "$1"
}

# scopes prints the deployment's scopes as reported by the controller on $asked.
scopes() {
  http GET "${controllers[$asked]}" /status "" "$token" |
    grep -oE '"scope":"[^"]+","holder"' | sed -E 's/"scope":"([^"]+)".*/\1/'
}

# leader_of SCOPE prints a scope's leader as reported by the controller on $asked.
leader_of() {
  http GET "${controllers[$asked]}" /status "" "$token" |
    grep -oE '"scope":"[^"]+","holder":"[^"]+"' | sed -nE "s|\"scope\":\"$1\",\"holder\":\"([^\"]+)\"|\1|p"
}

counted() { http GET "$control" /totals | json_value "$1"; }

# book KEY INSTANCE sends a protected call and prints the response.
book() {
  local http_timeout=15
  http POST "${callers[$2]}" "$protected" "{\"reference\":\"$1\"}" "" "$1" || true
}

# outcome prints the outcome of the call whose response is on stdin: the outcome it
# states, ran, or none.
outcome() {
  local answer
  answer=$(cat)
  json_value outcome <<<"$answer" || { [ -n "$(json_value run <<<"$answer")" ] && printf 'ran'; } || printf 'none'
}

# send_poison WORD SENDS INSTANCE... repeatedly sends a request that crashes engines,
# identified by the word, to the instances in turn and without pauses. It sets
# poison_crashes to the number of engine crashes meanwhile, and poison_refused to the
# number of requests refused as quarantined.
send_poison() {
  local word=$1 sends=$2 before body answer name http_timeout=30 n
  shift 2
  before=$(counted crashes)
  body="{\"model\": \"$model\", \"prompt\": \"the $word request with crash-this-upstream in it\", \"max_tokens\": 8}"
  poison_refused=0
  for ((n = 1; n <= sends; n++)); do
    name=${*:(n - 1) % $# + 1:1}
    answer=$(http POST "${callers[$name]}" /v1/completions "$body") || true
    printf '%s %s\n' "$name" "$answer" >>"$logs/poison.log"
    [ "$(json_value code <<<"$answer")" != quarantined ] || poison_refused=$((poison_refused + 1))
  done
  poison_crashes=$(($(counted crashes) - before))
}

# rejoin INSTANCE VERSION waits until the version is in force on an entry whose
# partition has ended, and prints the time in ms.
rejoin() {
  local from
  from=$(now_ms)
  until [ "$(in_force_on "$1")" = "$2" ]; do
    [ $(($(now_ms) - from)) -lt 20000 ] || break
    sleep 0.02
  done
  echo $(($(now_ms) - from))
}
