# The faults of a trial and the callers that meet them on purpose.

# fault PART JSON sets faults of one of the stand-ins' parts.
fault() { http POST "$control" "/parts/$1/faults" "$2" >/dev/null || fail "the stand-ins refuse a fault of $1"; }

# upstreams KIND prints the names of all engines or services.
upstreams() { sed -nE "s/.*\"name\": \"([^\"]+)\", \"kind\": \"$1\".*/\1/p" "$settings"; }

# protected_path prints the path of the first protected rule.
protected_path() { sed -nE 's/.*path startsWith \\"([^\\]+)\\".*/\1/p' "$run/rules.json" | head -n 1; }

# freeze NAME SECONDS stops a process and lets it go on.
freeze() {
  end STOP "$1"
  sleep "$2"
  end CONT "$1"
}

# scopes prints the deployment's scopes, as the controller on $asked knows them.
scopes() {
  http GET "${controllers[$asked]}" /status "" "$token" |
    grep -oE '"scope":"[^"]+","holder"' | sed -E 's/"scope":"([^"]+)".*/\1/'
}

# leader_of SCOPE prints who leads a scope, as the controller on $asked knows it.
leader_of() {
  http GET "${controllers[$asked]}" /status "" "$token" |
    grep -oE '"scope":"[^"]+","holder":"[^"]+"' | sed -nE "s|\"scope\":\"$1\",\"holder\":\"([^\"]+)\"|\1|p"
}

counted() { http GET "$control" /totals | json_value "$1"; }

# book KEY INSTANCE sends a protected call and prints its answer, or its refusal.
book() {
  local http_timeout=15
  http POST "${callers[$2]}" "$protected" "{\"reference\":\"$1\"}" "" "$1" || true
}

# outcome prints whether the answer on stdin says that the call ran.
outcome() {
  local answer
  answer=$(cat)
  json_value outcome <<<"$answer" || { [ -n "$(json_value run <<<"$answer")" ] && printf 'ran'; } || printf 'none'
}

# send_poison WORD SENDS INSTANCE... sends one request, told apart by the word, that
# crashes engines again and again, at one instance after the other, without a pause.
# It sets poison_crashes, the engines that crashed meanwhile, and poison_refused, the
# sends refused as quarantined.
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

# rejoin INSTANCE VERSION waits for an entry that was cut off to have the version in
# force and prints the time in ms.
rejoin() {
  local from
  from=$(now_ms)
  until [ "$(in_force_on "$1")" = "$2" ]; do
    [ $(($(now_ms) - from)) -lt 20000 ] || break
    sleep 0.02
  done
  echo $(($(now_ms) - from))
}
