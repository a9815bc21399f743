#!/usr/bin/env bash
# Runs clang-tidy over the sources (all of them, or those given) with the
# checks in .clang-tidy. Results of unchanged files come from a cache.
set -euo pipefail
cd "$(dirname "$0")/.."
/usr/bin/python3 Meta/lint.py Build "$@"
