#!/usr/bin/env bash
# Runs the stand-ins of a small deployment on loopback: a platform, engines and
# plain upstreams in three failure domains. Writes the settings of three entry
# hosts, and runs them if DAEMON names a verbenapierd binary. Ends with Ctrl-C.
#
# Variables: ENGINES engines per failure domain (2), PLAIN upstreams per failure
# domain (1), SCALE factor on modelled times (0.2), PORT first port (7100),
# DAEMON path of verbenapierd (none).
set -euo pipefail
cd "$(dirname "$0")/.."
engines=${ENGINES:-2} plain=${PLAIN:-1} scale=${SCALE:-0.2} port=${PORT:-7100}
domains=(north-jetty harbour-office warehouse-east)
run=run/demo
mkdir -p "$run" bin
(cd emul && go build -o ../bin/ ./cmd/...)

pids=()
stop() {
  trap - EXIT
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

# start NAME COMMAND... runs a command with its log in $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
}

# answers URL waits until a server answers.
answers() {
  for _ in $(seq 100); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "no answer from $1; see $run" >&2
  exit 1
}

platform=127.0.0.1:$port
hosts=()
upstreams=()
checks=()
next=$((port + 1))

# host NAME ROLE SERVICE ADDRESS DOMAIN [PEER] adds an entry of the host list.
host() {
  hosts+=("{\"name\":\"$1\",\"role\":\"$2\",\"service\":\"$3\",\"address\":\"$4\",\"failure_domain\":\"$5\",\"peer_address\":\"${6:-}\",\"state\":\"live\"}")
}

for domain in "${domains[@]}"; do
  for i in $(seq "$engines"); do
    name=$domain-engine-$i address=127.0.0.1:$next
    start "$name" bin/vbstand --listen "$address" engine --name "$name" --model lake-assistant:4 \
      --time-scale "$scale" --check-fence --crash-marker CRASH --platform "http://$platform"
    host "$name" engine assistant "$address" "$domain"
    checks+=("http://$address/v1/health")
    next=$((next + 1))
  done
  for i in $(seq "$plain"); do
    name=$domain-desk-$i address=127.0.0.1:$next
    start "$name" bin/vbstand --listen "$address" plain --name "$name" --latency 20ms --jitter 20ms
    host "$name" plain mooring-desk "$address" "$domain"
    upstreams+=(--upstream "$address")
    checks+=("http://$address/v1/health")
    next=$((next + 1))
  done
done

entries=()
for domain in "${domains[@]}"; do
  name=$domain-1 address=127.0.0.1:$next peer=127.0.0.1:$((next + 1))
  cat >"$run/$name.json" <<END
{
  "name": "$name",
  "failure_domain": "$domain",
  "listen": "$address",
  "peer_listen": "$peer",
  "admin_listen": "127.0.0.1:$((next + 2))",
  "platform": ["http://$platform"],
  "insecure": true,
  "log_format": "text",
}
END
  host "$name" entry "" "$address" "$domain" "$peer"
  entries+=(--address "$address")
  next=$((next + 3))
done

(IFS=, && echo "{\"hosts\":[${hosts[*]}]}") >"$run/hosts.json"
start platform bin/vbstand --listen "$platform" platform --hosts "$run/hosts.json"
for url in "http://$platform/hosts" "${checks[@]}"; do answers "$url"; done
if [ -n "${DAEMON:-}" ]; then
  for domain in "${domains[@]}"; do start "$domain-1" "$DAEMON" --settings "$run/$domain-1.json"; done
fi

echo "platform  http://$platform"
echo "hosts     $run/hosts.json"
echo "logs      $run/*.log"
echo "load      bin/vbload ${entries[*]} ${upstreams[*]} --key KEY --model lake-assistant --plain-share 0.1 --plain-path /services/mooring-desk/bookings"
echo "running; Ctrl-C ends it"
wait
