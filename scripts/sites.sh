#!/usr/bin/env bash
# Derives three synthetic deployments from a site file of the users' bench: one with
# engines of a tenth of the speed, one with ten times the speed, and one with many
# small engines. The requests are scaled with the engines, so that the load stays
# within each deployment's capacity.
# Usage: scripts/sites.sh SITE.toml FOLDER
set -euo pipefail

if [ $# -ne 2 ]; then
  echo "usage: scripts/sites.sh SITE.toml FOLDER" >&2
  exit 2
fi
site=$1
folder=$2
here=$(cd "$(dirname "$site")" && pwd)
mkdir -p "$folder"

# derive writes a site file. Its arguments are the name; factors for the prefill speed,
# the step time, the prompt tokens, the KV memory and the latency objectives; the
# engines per data centre, the slots and batch size of an engine, the initial share of
# prefill engines; and a factor for the share of requests with long prompts.
derive() {
  NAME=$1 SPEED=$2 STEP=$3 TOKENS=$4 MEMORY=$5 AIMS=$6 ENGINES=$7 SLOTS=$8 READERS=$9 LONG=${10} HERE=$here \
    perl -pe '
      $named = s/^name = .*/name = "$ENV{NAME}"/ unless $named;
      s{^wire = "(.*)"}{wire = "$ENV{HERE}/$1"};
      if (/model = "llm"/) {
        s/(prefill_tokens_per_ms = )([\d.]+)/$1.$2*$ENV{SPEED}/e;
        s/(pairs_ms_per_m = )([\d.]+)/$1.$2\/$ENV{SPEED}/e;
        s/(step_ms = )([\d.]+)/$1.$2*$ENV{STEP}/e;
        s/(kv_tokens = )(\d+)/$1.int($2*$ENV{MEMORY})/e;
        s/(prefill = )([\d.]+)/$1$ENV{READERS}/;
        s/count = \d+/count = $ENV{ENGINES}/g;
        s/slots = \d+/slots = $ENV{SLOTS}/;
        s/batch = \d+/batch = $ENV{SLOTS}/;
      }
      if (/prompt_tokens = /) {
        s/(prompt_tokens = \{ mean = )([\d.]+)/$1.$2*$ENV{TOKENS}/e;
        s/(prompt_tokens = \{[^}]*max = )([\d.]+)/$1.$2*$ENV{TOKENS}/e;
        s/(\{ tokens = \{ mean = )([\d.]+)/$1.$2*$ENV{TOKENS}/ge;
        s/(\{ tokens = \{[^}]*max = )([\d.]+)/$1.$2*$ENV{TOKENS}/ge;
        s/(gap_aim_ms = )([\d.]+)/$1.$2*$ENV{AIMS}/e;
        s/( aim_ms = )([\d.]+)/$1.int($2*$ENV{AIMS})/e;
      }
      if (/ mix = \{/) {
        s/((?:review|check) = )([\d.]+)/$1.$2*$ENV{LONG}/ge;
      }
    ' "$site" > "$folder/$1.toml"
}

#      name          speed step tokens memory aims engines slots readers long
derive slow-engines  0.1   3.0  0.1    0.1    1.5  3       64    0.35    1
derive fast-engines  10    0.3  4      4      0.7  1       128   0.5     1
derive small-engines 0.5   1.5  0.6    0.15   1    6       8     0.1     0.6
echo "written to $folder: slow-engines.toml fast-engines.toml small-engines.toml"
