#!/usr/bin/env bash
# Builds the fuzzers into BuildFuzzers/ with clang and runs each for a fixed
# number of runs with a fixed seed. Arguments: [RUNS]. A finding is kept in
# BuildFuzzers/findings and makes the script fail.
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-8000}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
export CCACHE_SLOPPINESS=pch_defines,time_macros
grep -qs '^CROCUS_WARNINGS_ARE_ERRORS:BOOL=ON' BuildFuzzers/CMakeCache.txt ||
  cmake -S . -B BuildFuzzers -G Ninja \
    -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCMAKE_CXX_COMPILER=clang++ \
    -DCROCUS_WARNINGS_ARE_ERRORS=ON -DCROCUS_FUZZERS=ON >/dev/null
ninja -C BuildFuzzers -j "${CROCUS_BUILD_JOBS:-8}" fuzzers
mkdir -p BuildFuzzers/findings
for source in Tests/Fuzzers/*_fuzzer.cc; do
  name="$(basename "$source" .cc)"
  seeds=()
  [ -d "Tests/Fuzzers/seeds/$name" ] && seeds=("Tests/Fuzzers/seeds/$name")
  # The first directory receives new inputs; the seeds stay as they are.
  corpus="$(mktemp -d /tmp/crocus-corpus-XXXXXX)"
  # A run of these takes microseconds. The other fuzzers replay or parse whole
  # files, so they get a tenth of the runs.
  case "$name" in
    bodies_fuzzer | frames_fuzzer | caller_bytes_fuzzer) count=$((runs * 10)) ;;
    *) count=$runs ;;
  esac
  status=0
  "BuildFuzzers/bin/$name" -seed=20261204 -runs="$count" -max_len=4096 \
    -timeout=20 -rss_limit_mb=2048 -artifact_prefix="BuildFuzzers/findings/$name-" \
    "$corpus" "${seeds[@]}" 2>"BuildFuzzers/$name.log" || status=$?
  rm -rf "$corpus"
  if [ "$status" -ne 0 ]; then
    tail -40 "BuildFuzzers/$name.log" >&2
    echo "fuzz: $name found a fault within $count runs" >&2
    exit 1
  fi
  echo "fuzz: $name, $(grep -o 'Done [0-9]* runs in [0-9]* second' "BuildFuzzers/$name.log")"
done
