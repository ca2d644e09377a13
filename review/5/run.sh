#!/usr/bin/env bash
# Runs this folder's case: exit 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. See claim.txt.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "no python3"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
