#!/usr/bin/env bash
# Starts a local deployment on loopback: three daemons, and stand-ins for a platform,
# for six engines in three failure domains and for two plain upstreams. Then applies a
# configuration and sends prompts of very different lengths to the daemons. On exit
# the script stops all processes that it started. Environment:
#   DURATION   length of the load, default 20s
#   RATE       requests per second, default 8
#   MIX        prompt lengths in tokens and their relative weights, default 1k:80,16k:15,300k:5
#   KILL       name of a process to kill halfway through the load, such as
#              node-b or engine-2
#   STOP       name of a process to suspend (SIGSTOP) halfway through the load,
#              for PAUSE seconds, default 10
#   PORT       lowest of the ports that the processes listen on, default 18400
#   KEEP       set to keep the deployment running after the load until Ctrl-C
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
run=$(mktemp -d "${TMPDIR:-/tmp}/verbenapier.XXXXXX")
duration=${DURATION:-20s}
rate=${RATE:-8}
mix=${MIX:-1k:80,16k:15,300k:5}
base=${PORT:-18400}
platform=127.0.0.1:$base
key=demo-key
domains=(north-jetty harbour-office warehouse-east)
declare -A pids

cleanup() {
  for name in "${!pids[@]}"; do kill "${pids[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
  echo "logs are in $run"
}
trap cleanup EXIT

start() { # name command...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

await() { # what command...
  local what=$1
  shift
  for _ in $(seq 1 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  echo "$what did not become ready; see $run" >&2
  exit 1
}

# The host list of the platform.
{
  echo '{"hosts":['
  for i in 0 1 2 3 4 5; do
    echo "{\"name\":\"engine-$i\",\"role\":\"engine\",\"service\":\"assistant\",\"address\":\"127.0.0.1:$((base + 10 + i))\",\"failure_domain\":\"${domains[$((i % 3))]}\",\"state\":\"live\"},"
  done
  for i in 0 1; do
    echo "{\"name\":\"desk-$i\",\"role\":\"plain\",\"service\":\"mooring-desk\",\"address\":\"127.0.0.1:$((base + 20 + i))\",\"failure_domain\":\"${domains[$i]}\",\"state\":\"live\"},"
  done
  sep=""
  for i in 0 1 2; do
    n=$(printf '%s' abc | cut -c$((i + 1)))
    echo "$sep{\"name\":\"node-$n\",\"role\":\"entry\",\"address\":\"127.0.0.1:$((base + 30 + i * 3))\",\"peer_address\":\"127.0.0.1:$((base + 31 + i * 3))\",\"failure_domain\":\"${domains[$i]}\",\"state\":\"live\"}"
    sep=","
  done
  echo ']}'
} >"$run/hosts.json"

start platform "$bin/vbstand" platform --listen "$platform" --hosts "$run/hosts.json"
for i in 0 1 2 3 4 5; do
  start "engine-$i" "$bin/vbstand" engine --name "engine-$i" --listen "127.0.0.1:$((base + 10 + i))" \
    --model assistant-large:1 --platform "http://$platform"
done
for i in 0 1; do
  start "desk-$i" "$bin/vbstand" plain --name "desk-$i" --listen "127.0.0.1:$((base + 20 + i))"
done

# Certificates for the daemons and for an operator.
sign=(--authority "$run/ca.pem" --authority-key "$run/ca-key.pem" --out "$run")
"$bin/verbenapierctl" cert authority --name ca --out "$run" >/dev/null
for n in a b c; do
  i=$(($(printf '%d' "'$n") - 97))
  "$bin/verbenapierctl" cert node --name "node-$n" --ip 127.0.0.1 "${sign[@]}" >/dev/null
  cat >"$run/node-$n.json" <<JSON
// Settings of node-$n in the local deployment.
{
  "name": "node-$n",
  "failure_domain": "${domains[$i]}",
  "listen": "127.0.0.1:$((base + 30 + i * 3))",
  "peer_listen": "127.0.0.1:$((base + 31 + i * 3))",
  "admin_listen": "127.0.0.1:$((base + 32 + i * 3))",
  "platform": ["http://$platform"],
  "tls": {
    "ca": "file:$run/ca.pem",
    "certificate": "file:$run/node-$n.pem",
    "key": "file:$run/node-$n-key.pem",
  },
}
JSON
  start "node-$n" "$bin/verbenapierd" --settings "$run/node-$n.json"
done
"$bin/verbenapierctl" cert operator --name demo "${sign[@]}" >/dev/null

ctl() {
  "$bin/verbenapierctl" --address "127.0.0.1:$((base + 32))" --ca "$run/ca.pem" \
    --certificate "$run/demo.pem" --key "$run/demo-key.pem" "$@"
}

hash=$(printf '%s' "$key" | "$bin/verbenapierctl" key hash)
cat >"$run/configuration.json" <<JSON
{
  "services": {
    "assistant": {
      "kind": "engine", "models": ["assistant-large"], "time_limit": "60s", "max_time_limit": "10m",
      "short_prompt_tokens": 4096, "weights": {"time_to_first_token": 3, "head_of_line_blocking": 1},
    },
    "mooring-desk": {
      "kind": "plain", "time_limit": "10s", "max_time_limit": "60s", "idempotency_window": "24h",
      "routes": [
        {"method": "GET", "path": "/berths/{berth}", "idempotent": true},
        {"method": "POST", "path": "/bookings", "idempotent": false},
      ],
    },
  },
  "models": {"assistant-large": {"version": "1"}},
  "organisations": {"lake-tana": {"keys": ["$hash"], "weight": 1}},
}
JSON

await "the operators' interface" ctl node list
ctl config apply "$run/configuration.json" --base 0
ready() { curl -fsS -H "Authorization: Bearer $key" "http://127.0.0.1:$((base + 30 + $1 * 3))/v1/models" | grep -q assistant-large; }
for i in 0 1 2; do await "node $i" ready "$i"; done
first_answer() {
  curl -fsS -H "Authorization: Bearer $key" -d '{"model":"assistant-large","prompt":"Which berths are free?","max_tokens":4}' \
    "http://127.0.0.1:$((base + 30))/v1/completions" | grep -q text_completion
}
await "the first answer" first_answer
ctl node list
ctl cell list

if [ -n "${KILL:-}" ]; then
  (sleep $((${duration%s} / 2)) && echo "killing $KILL" && kill -9 "${pids[$KILL]}") &
fi
if [ -n "${STOP:-}" ]; then
  (sleep $((${duration%s} / 2)) && echo "suspending $STOP" && kill -STOP "${pids[$STOP]}" &&
    sleep "${PAUSE:-10}" && kill -CONT "${pids[$STOP]}" && echo "resuming $STOP") &
fi
"$bin/vbload" --address "127.0.0.1:$((base + 30))" --address "127.0.0.1:$((base + 33))" --address "127.0.0.1:$((base + 36))" \
  --key "$key" --model assistant-large --rate "$rate" --duration "$duration" --mix "$mix" --timeout 60s \
  --plain-share 0.1 --plain-path /services/mooring-desk/bookings \
  --upstream "127.0.0.1:$((base + 20))" --upstream "127.0.0.1:$((base + 21))"
ctl alarm list
if [ -n "${KEEP:-}" ]; then
  echo "the deployment runs until Ctrl-C"
  wait
fi
