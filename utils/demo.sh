#!/usr/bin/env bash
# Demonstrates the Atlas and Rangi Nziza deployments on this machine's loopback:
# builds everything, starts a platform stand-in, model engines of different
# speeds, a plain service and six routers, writes the example records, makes
# calls, then kills an engine and a router while answers stream. Exits 0 if
# every answer was complete and correct, else 1 with the reason. Stops every
# process that it started; if it fails, it prints the folder of the logs.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
logs=$(mktemp -d)
pids=()
command=$build/toucanwharf
readonly admin_key=demo-admin-key-0001
readonly routers=6
readonly wait_seconds=20

say() { printf '\n== %s\n' "$*"; }

fail() {
  printf 'demo failed: %s\nlogs: %s\n' "$*" "$logs" >&2
  exit 1
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  sleep 0.3
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap stop_all EXIT

# Starts a program in the background and sets $started to its pid.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.out" 2>"$logs/$name.log" &
  started=$!
  pids+=("$started")
}

kill_hard() {
  kill -9 "$1"
  wait "$1" 2>/dev/null || true
}

# Waits until a stand-in prints its listen address, and sets $address to it.
await_address() {
  local attempt
  for ((attempt = 0; attempt < wait_seconds * 20; attempt++)); do
    address=$(sed -n 's/^listening //p' "$logs/$1.out" 2>/dev/null || true)
    [ -n "$address" ] && return
    sleep 0.05
  done
  fail "$1 printed no listen address within $wait_seconds s"
}

# Sets $port to a port on which nothing listens.
next_port=$((20000 + RANDOM % 8000))
find_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  port=$next_port
  next_port=$((next_port + 1))
}

write_settings() {
  cat >"$logs/$1.json" <<EOF
{
  "instance": "$1", "failure_domain": "$2", "region": "$3",
  "listen": {"callers": "127.0.0.1:$4", "admin": "127.0.0.1:$5", "peers": "127.0.0.1:$6"},
  "platform": {"address": "$TOUCANWHARF_PLATFORM"},
  "keys": {"admin": "$admin_key", "peer": "demo-peer-key-00001"},
  "timeouts": {"entries_ttl_ms": 1000, "drain_ms": 20000}
}
EOF
}

# Registers a router with the platform stand-in. A real platform lists the
# instances that it runs by itself.
list_router() {
  local body
  body=$(printf '{"id": "%s", "role": "router", "service": "", "state": "live", "failure_domain": "%s", "address": "127.0.0.1:%s", "admin_address": "127.0.0.1:%s", "peer_address": "127.0.0.1:%s"}' "$@")
  exec 3<>"/dev/tcp/${TOUCANWHARF_PLATFORM/://}"
  printf 'POST /instances HTTP/1.1\r\nHost: platform\r\nContent-Length: %s\r\nConnection: close\r\n\r\n%s' \
    "${#body}" "$body" >&3
  cat <&3 >"$logs/listed"
  exec 3>&-
  grep -q ' 200 ' "$logs/listed" || fail "the platform did not register $1"
}

start_router() {
  local name=$1 domain=$2 region=$3 callers admin peers
  find_port; callers=$port
  find_port; admin=$port
  find_port; peers=$port
  write_settings "$name" "$domain" "$region" "$callers" "$admin" "$peers"
  "$build/toucanwharfd" --settings "$logs/$name.json" --check-settings >/dev/null ||
    fail "invalid settings of $name"
  start "$name" "$build/toucanwharfd" --settings "$logs/$name.json"
  list_router "$name" "$domain" "$callers" "$admin" "$peers"
  router_pids+=("$started")
  entries+=("127.0.0.1:$callers")
  admins+=("127.0.0.1:$admin")
}

# start_engine ID DOMAIN MODEL VERSION LAYERS LAYER_MICROS
start_engine() {
  start "$1" "$build/standin_engine" --id "$1" --failure-domain "$2" \
    --model "$3" --version "$4" --layers "$5" --layer-micros "$6" \
    --platform "$TOUCANWHARF_PLATFORM"
}

join() { local IFS=,; echo "$*"; }

# Waits until each router answers the customer's calls to the model.
await_ready() {
  local entry attempt
  for entry in "${entries[@]}"; do
    for ((attempt = 0; attempt < wait_seconds * 5; attempt++)); do
      "$command" call --direct --entry "$entry" --max-tokens 1 \
        chat "$model" ready >/dev/null 2>&1 && break
      sleep 0.2
    done
    [ "$attempt" -lt $((wait_seconds * 5)) ] || fail "router $entry is not ready"
  done
}

# Streams one answer from each router in the background.
start_answers() {
  local index rotated
  answer_pids=()
  for ((index = 0; index < routers; index++)); do
    rotated=$(join "${entries[@]:index}" "${entries[@]:0:index}")
    "$command" call --direct --entry "$rotated" --verify --seed $((100 + index)) \
      --max-tokens 160 --silence-ms 3000 --output json chat "$model" \
      "$prompt, part $index" >"$logs/answer-$index.out" 2>"$logs/answer-$index.log" &
    answer_pids+=("$!")
  done
}

await_answers() {
  local index
  for ((index = 0; index < routers; index++)); do
    wait "${answer_pids[index]}" ||
      fail "answer $index: $(tail -n 2 "$logs/answer-$index.log")"
    printf 'answer %s: %s\n' "$index" "$(tail -n 1 "$logs/answer-$index.log")"
  done
}

interrupted() { grep -c '"interruptions":[1-9]' "$logs/answer-$1.out" || true; }

# run_deployment DEPLOYMENT REGION MODEL VERSION LAYERS SERVICE CUSTOMER PATH PROMPT DOMAINS...
run_deployment() {
  local deployment=$1 region=$2 version=$4 layers=$5 service=$6 customer=$7 path=$8
  model=$3 prompt=$9
  local domains=("${@:10}")
  local half=$((layers / 2)) index domain
  entries=()
  admins=()
  router_pids=()
  export TOUCANWHARF_KEY=demo-key-$customer TOUCANWHARF_ADMIN_KEY=$admin_key

  say "$deployment: platform, engines, service and $routers routers"
  start platform "$build/standin_platform" --list-lag-ms 200
  await_address platform
  export TOUCANWHARF_PLATFORM=$address
  start_engine first-fast "${domains[0]}" "$model-base" "$version" "0-$half" 300
  start_engine first-slow "${domains[1]}" "$model-base" "$version" "0-$half" 600
  start_engine last-fast "${domains[0]}" "$model-base" "$version" "$half-$layers" 300
  local engine_to_kill=$started
  start_engine last-slow "${domains[2]}" "$model-base" "$version" "$half-$layers" 600
  start service "$build/standin_service" --service "$service" --id "$service-1" \
    --failure-domain "${domains[1]}" --platform "$TOUCANWHARF_PLATFORM"
  for ((index = 0; index < routers; index++)); do
    domain=${domains[index % ${#domains[@]}]}
    start_router "entry-$index" "$domain" "$region"
  done
  TOUCANWHARF_ENTRY=$(join "${entries[@]}")
  TOUCANWHARF_ADMIN=$(join "${admins[@]}")
  export TOUCANWHARF_ENTRY TOUCANWHARF_ADMIN

  say "$deployment: records"
  "$command" apply --wait-ms 20000 "examples/$deployment" || fail "apply"
  await_ready

  say "$deployment: advised entry instances"
  "$command" entries || fail "entries"
  say "$deployment: a streamed answer"
  "$command" call --verify --max-tokens 24 chat "$model" "$prompt" || fail "chat"
  say "$deployment: a call that must not run twice"
  "$command" call service "$service" POST "$path" || fail "service call"

  say "$deployment: $routers answers stream; an engine and a router are killed"
  start_answers
  sleep 0.6
  kill_hard "$engine_to_kill"
  sleep 0.4
  kill_hard "${router_pids[0]}"
  await_answers
  [ "$(interrupted 0)" -eq 1 ] || fail "the killed router's answer was not interrupted"

  say "$deployment: calls that the service ran"
  "$command" call service "$service" GET /_runs | tee "$logs/runs.out"
  grep -q '"doubled": *\[\]' "$logs/runs.out" || fail "a call ran twice"
  say "$deployment: status"
  "$command" status || fail "status"
  say "$deployment: timeline (last lines)"
  "$command" timeline 2>/dev/null | tail -n 15 || fail "timeline"
  stop_all
}

utils/install_packages.sh
say "build"
cmake -S . -B "$build" -G Ninja -Wno-dev >/dev/null
ninja -C "$build" --quiet -j "${JOBS:-$(nproc)}" toucanwharf toucanwharfd toucanwharf_router \
  standin_platform standin_engine standin_service
SECONDS=0
run_deployment atlas casablanca qa-model qa-2026-11 32 lot-records berrechid-release \
  /lots/L-2041/sign "Summarise the deviations of lot L-2041" \
  casa-a casa-b berrechid
run_deployment rangi kigali brush-model brush-7 24 rounds-app nyarugenge-crew \
  /jobs/J-77/done "Plan paint and surface for cabinet 77" \
  kg-nyarugenge kg-gasabo kg-kicukiro
rm -rf "$logs"
say "demo passed in ${SECONDS} s: every answer complete and correct"
