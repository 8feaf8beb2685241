#!/bin/sh
# Starts the platform's stand-ins and one entry, and measures what the entry
# adds. Arguments are passed on to entrybench. Run it from the repository's root.
set -eu
here=internal/entry/entrybench
work=$(mktemp -d)
standin= entry=
cleanup() {
	[ -z "$entry" ] || kill "$entry" 2>/dev/null || true
	[ -z "$standin" ] || kill "$standin" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT INT TERM
go build -o "$work" ./cmd/chute-entry ./cmd/chute-standin ./$here
head -c 24 /dev/urandom | base64 >"$work/peer.secret"
token=$(head -c 12 /dev/urandom | base64)
hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
sed "s/TOKEN_SHA256/$hash/" $here/settings.json >"$work/settings.json"
cp $here/rules.json "$work/"
"$work/chute-standin" -settings "$work/settings.json" -only platform >"$work/standin.log" 2>&1 &
standin=$!
sleep 0.5
"$work/chute-entry" -settings "$work/settings.json" -instance entry-a-1 >"$work/entry.log" 2>&1 &
entry=$!
sleep 1.5
"$work/entrybench" -settings "$work/settings.json" -instance entry-a-1 -pid "$entry" \
	-token "$token" -rules "$work/rules.json" "$@"
