#!/usr/bin/env bash
# Builds the programs, starts a small deployment on loopback with ports that the
# kernel chooses, publishes rules, sends one online request and a small batch,
# and stops. Ends only processes that it started, by their ids.
set -euo pipefail
cd "$(dirname "$0")/.."
./Meta/install.sh
./Meta/build.sh crocus-entry crocus-daemon crocus-standin crocusctl >/dev/null

bin="$PWD/Build/bin"
directory="$(mktemp -d /tmp/crocus-demo-XXXXXX)"
pids=()

stop() {
  local status=$?
  trap - EXIT
  # Reverse order of the starts: the entry, the daemons, then the stand-ins.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  if [ "$status" -eq 0 ]; then
    rm -rf "$directory"
  else
    echo "demo: failed; the logs are in $directory" >&2
  fi
  exit "$status"
}
trap stop EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENTS...
start() {
  local name=$1
  shift
  "$@" 2>"$directory/$name.log" &
  pids+=($!)
}

# port NAME KIND: waits for the port file and prints a port.
port() {
  local attempt
  for ((attempt = 0; attempt < 200; attempt++)); do
    if [ -s "$directory/$1.port" ]; then
      awk -v kind="$2" '$1 == kind { print $2 }' "$directory/$1.port"
      return
    fi
    sleep 0.05
  done
  echo "demo: $1 did not start" >&2
  cat "$directory/$1.log" >&2
  return 1
}

standin() {
  local name=$1
  shift
  start "$name" "$bin/crocus-standin" "$@" --port-file "$directory/$name.port"
}

# daemon NAME ENDPOINT MODEL ZONE ENGINE...
daemon() {
  local name=$1 endpoint=$2 model=$3 zone=$4 replicas="" engine
  shift 4
  for engine in "$@"; do
    replicas+="${replicas:+, }http://127.0.0.1:$(port "$engine" http)"
  done
  cat >"$directory/$name.ini" <<INI
[host]
name = $name
availability_zone = $zone
region = waco-a
port_file = $directory/$name.port
[endpoint]
name = $endpoint
replicas = $replicas
models = $model
INI
  start "$name" "$bin/crocus-daemon" --settings "$directory/$name.ini"
}

print_heading() { printf '\n== %s\n' "$*"; }

print_heading "Stand-ins of the platform: log, host list and four engines"
standin log log
standin hosts hosts
for engine in engine-1 engine-2 engine-3 engine-4; do
  standin "$engine" engine --token-us 1000
done

print_heading "Three daemons, one entry"
daemon daemon-1 proof-models proof waco-a-1 engine-1 engine-2
daemon daemon-2 proof-models proof waco-a-2 engine-3
daemon daemon-3 order-desk reply waco-a-1 engine-4
daemons=""
for name in daemon-1 daemon-2 daemon-3; do
  daemons+="${daemons:+, }127.0.0.1:$(port "$name" internal)"
done
cat >"$directory/entry.ini" <<INI
[host]
name = entry-1
availability_zone = waco-a-1
region = waco-a
port_file = $directory/entry.port
[platform]
log_url = http://127.0.0.1:$(port log http)
hosts_url = http://127.0.0.1:$(port hosts http)
require_rules = true
[fleet]
daemons = $daemons
INI
start entry "$bin/crocus-entry" --settings "$directory/entry.ini"
CROCUS_ENTRY="http://127.0.0.1:$(port entry http)"
export CROCUS_ENTRY
echo "callers use $CROCUS_ENTRY"

print_heading "Publish examples/calloway.rules and wait until it is in force everywhere"
"$bin/crocusctl" rules publish examples/calloway.rules --author Calloway --wait

for ((attempt = 0; attempt < 200; attempt++)); do
  curl -sf "$CROCUS_ENTRY/readyz" >/dev/null && break
  sleep 0.05
done

print_heading "The rules in force"
"$bin/crocusctl" rules show

print_heading "An online request"
"$bin/crocusctl" request "Describe the ranch brand on the mat" \
  --model proof --workspace mats --max-tokens 12

print_heading "A batch of 40 proofs"
{
  echo '{"model":"proof","workspace":"mats","class":"batch"}'
  for ((i = 0; i < 40; i++)); do
    echo "{\"prompt\":\"proof $i\",\"max_tokens\":16}"
  done
} >"$directory/proofs.jsonl"
job="$("$bin/crocusctl" batch submit "$directory/proofs.jsonl" --json |
  sed 's/.*"id":"\([^"]*\)".*/\1/')"
for ((attempt = 0; attempt < 600; attempt++)); do
  "$bin/crocusctl" batch status "$job" --json | grep -q '"state":"finished"' && break
  sleep 0.05
done
"$bin/crocusctl" batch status "$job"
finished="$("$bin/crocusctl" batch results "$job" | wc -l)"
echo "$finished of 40 results; the first:"
"$bin/crocusctl" batch results "$job" --limit 1
[ "$finished" -eq 40 ]

print_heading "Status"
"$bin/crocusctl" status

print_heading "Stopping"
