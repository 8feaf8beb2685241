#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/bin. The daemons are built as the deploy
# file says, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/ ./review/stand/...
