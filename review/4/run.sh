#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption and does all else the same.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
case "$TROUBLE" in
    0 | 1) ;;
    *) echo "TROUBLE is 0 or 1"; exit 2 ;;
esac
export TROUBLE
exec python3 -B case.py
