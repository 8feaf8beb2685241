#!/usr/bin/env bash
# Case 3. TROUBLE=0: neither the servers' crash nor the final fault; TROUBLE=kill, TROUBLE=crash: one of them.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/chute-member ] && [ -x review/bin/crowd ] && [ -x review/bin/server ] || { echo "not built"; exit 2; }
exec review/bin/crowd -record review/3/record.txt -trouble "${TROUBLE:-1}"
