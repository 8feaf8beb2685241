# An HTTP client in plain bash, so that the trial scripts need no other program.

# http METHOD ADDRESS PATH [BODY [TOKEN [KEY]]] prints the response's body. It fails if
# the status isn't 2xx or a read takes longer than http_timeout seconds. KEY is sent as
# the Idempotency-Key.
http_timeout=3
http() {
  local method=$1 address=$2 path=$3 body=${4-} token=${5-} key=${6-}
  local status line
  exec {conn}<>"/dev/tcp/${address%:*}/${address##*:}" || return 1
  {
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' "$method" "$path" "$address"
    [ -z "$token" ] || printf 'Authorization: Bearer %s\r\n' "$token"
    [ -z "$key" ] || printf 'Idempotency-Key: %s\r\n' "$key"
    printf 'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' "${#body}" "$body"
  } >&"$conn"
  read -r -t "$http_timeout" _ status _ <&"$conn" || status=0
  while read -r -t "$http_timeout" line <&"$conn" && [ "$line" != $'\r' ]; do :; done
  IFS= read -r -d '' -t "$http_timeout" line <&"$conn" || true
  exec {conn}>&-
  printf '%s' "$line"
  [[ $status == 2* ]]
} 2>/dev/null

# wait_for SECONDS COMMAND... repeats a command until it succeeds; it fails after
# SECONDS.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# json_value KEY prints the first value of a key in the JSON text on stdin. The value
# must be a number, a literal or a string that holds no quote, comma, brace or space.
json_value() {
  local text
  IFS= read -r -d '' text || true
  [[ $text == *"\"$1\""* ]] || return 1
  text=${text#*"\"$1\""}
  [[ $text =~ ^[[:space:]]*:[[:space:]]*\"?([^\",}[:space:]]*) ]] && printf '%s' "${BASH_REMATCH[1]}"
}
