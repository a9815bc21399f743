#!/usr/bin/env bash
# Installs what is needed, builds, and runs the format check, the linter and
# all tests with fixed seeds. The exit code is the verdict.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install.sh
./Meta/build.sh
./Meta/check-format.sh
./Meta/lint.sh
./Meta/fuzz.sh
# rapidcheck reads its seed and size from the environment.
export RC_PARAMS="seed=20261204 max_success=200"
ctest --test-dir Build --output-on-failure --timeout 300 -j 4
