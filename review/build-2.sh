#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/bin/. Needs no network once the modules are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/stand-2/...
