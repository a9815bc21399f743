#!/usr/bin/env bash
# Configures and builds everything into Build/. Arguments go to ninja.
set -euo pipefail
cd "$(dirname "$0")/.."
# Lets checkouts in different directories share compiler cache entries.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
export CCACHE_SLOPPINESS=pch_defines,time_macros
grep -qs '^CROCUS_WARNINGS_ARE_ERRORS:BOOL=ON' Build/CMakeCache.txt ||
  cmake -S . -B Build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DCROCUS_WARNINGS_ARE_ERRORS=ON >/dev/null
ninja -C Build -j "${CROCUS_BUILD_JOBS:-8}" "$@"
