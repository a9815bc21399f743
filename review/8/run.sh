#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
exec python3 scenario.py
