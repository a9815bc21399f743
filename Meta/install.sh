#!/usr/bin/env bash
# Installs the Debian packages that the build, the linter and the tests need.
set -euo pipefail
packages=(
  clang clang-format clang-tidy libclang-rt-14-dev g++ cmake ninja-build ccache
  pkg-config curl libulfius-dev libmicrohttpd-dev libcereal-dev libboost-dev libboost-log-dev
  libboost-system-dev libboost-filesystem-dev libboost-thread-dev
  libcxxopts-dev libexpected-dev libcpputest-dev librapidcheck-dev libinih-dev
  nlohmann-json3-dev libxxhash-dev python3 python3-jinja2 python3-yaml
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo="sudo"
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
fi
