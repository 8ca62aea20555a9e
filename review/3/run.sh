#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out, and must pass; any other value, or none, has it.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
[ "$TROUBLE" = 0 ] || TROUBLE=1
export TROUBLE
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
exec python3 -B case.py
