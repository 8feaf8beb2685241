#!/usr/bin/env bash
# Checks that the soak detects faults: each patch in internal/soak/testdata/planted
# breaks one promise in a copy of the sources, and the soak must report it within a
# number of seeds, or of runs of the saved plan that the patch names. Prints a line per
# patch; fails if one isn't detected.
# Usage: scripts/soak-planted.sh [SEEDS] [PATCH...]
set -uo pipefail
cd "$(dirname "$0")/.."

seeds=${1:-8}
shift || true
patches=("$@")
[ "${#patches[@]}" -gt 0 ] || patches=(internal/soak/testdata/planted/*.patch)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go build -o "$work/chute-soak" ./cmd/chute-soak || exit 1

# finds SEED PROMISE [PLAN] succeeds if the soak with this seed, or this plan, reports this
# promise as broken. The soak's exit code doesn't tell which promise was broken.
finds() {
  local out
  out=$("$work/chute-soak" -member "$work/chute-member" -folder "$work/logs" -seed "$1" ${3:+-plan "internal/soak/testdata/plans/$3.json"})
  grep -qF "$2:" <<<"$(sed -n 's/^   BROKEN [^ ]* //p' <<<"$out")"
}

missed=0
for patch in "${patches[@]}"; do
  name=$(basename "$patch" .patch)
  promise=$(sed -n 's/^Promise: //p' "$patch")
  plan=$(sed -n 's/^Plan: //p' "$patch")
  rm -rf "$work/src" && mkdir "$work/src"
  git ls-files -z | xargs -0 cp --parents -t "$work/src"
  if ! (cd "$work/src" && patch -s -p1 <"$OLDPWD/$patch" && go build -o "$work/chute-member" ./cmd/chute-member); then
    echo "$name: the patch doesn't apply or build"
    missed=$((missed + 1))
    continue
  fi
  found=""
  for seed in $(seq 1 "$seeds"); do
    if finds "$seed" "$promise" "$plan"; then
      found=$seed
      break
    fi
  done
  if [ -n "$found" ]; then
    echo "$name: found by seed $found: $promise"
  else
    echo "$name: NOT found in $seeds seeds: $promise"
    missed=$((missed + 1))
  fi
done
exit $((missed > 0))
