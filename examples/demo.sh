#!/usr/bin/env bash
# Runs the whole system on loopback: stand-ins of the platform, three routers,
# the administration program and the coordinator. Shows configuration, a top-up,
# a completion, a non-repeatable order, the report and the timeline, and stops
# everything.
set -euo pipefail
cd "$(dirname "$0")/.."

PYTHON=${PYTHON:-.venv/bin/python}
RUN=run
# Bounds each wait: 150 looks, 0.2 s apart.
MAX_LOOKS=150
export HIBISCUSPASSCTL_SETTINGS=examples/ctl.yaml

names=()
pids=()

say() { printf '\n== %s\n' "$*"; }

start() { # name command...
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  names+=("$name")
  pids+=("$!")
}

stop_all() {
  local i status failed=0
  # In reverse order: what others depend on stops last.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
    status=0
    wait "${pids[i]}" || status=$?
    # 143 and 130: a stand-in that was ended by the signal itself.
    if [[ $status != 0 && $status != 143 && $status != 130 ]]; then
      echo "${names[i]} ended with status $status; see $RUN/${names[i]}.log"
      failed=1
    fi
  done
  pids=()
  return $failed
}

abort() {
  echo "stopping after an error; the logs are in $RUN/" >&2
  stop_all || true
}
trap abort EXIT

is_running() { # name
  local i
  for ((i = 0; i < ${#names[@]}; i++)); do
    [[ ${names[i]} == "$1" ]] && kill -0 "${pids[i]}" 2>/dev/null && return 0
  done
  return 1
}

wait_for() { # name url
  local i
  for ((i = 0; i < MAX_LOOKS; i++)); do
    # Checked first: another program may answer at the address.
    if ! is_running "$1"; then
      echo "$1 has ended; its port may be in use; see $RUN/$1.log" >&2
      return 1
    fi
    curl --silent --fail --output /dev/null "$2" && return 0
    sleep 0.2
  done
  echo "$1 is not ready: no success from $2; see $RUN/$1.log" >&2
  return 1
}

ctl() { "$PYTHON" -m hibiscuspass.ctl.main "$@"; }

# Exit code 5: the change is stored, but some router has not acknowledged it.
change() { ctl "$@" >/dev/null || [[ $? == 5 ]]; }

mkdir -p "$RUN"
rm -f "$RUN"/{fleet.key,operators.yaml,operator.token,bakery.key,hut-7.key}

say "Generate keys into $RUN/"
ctl keygen-fleet "$RUN/fleet.key"
{
  echo "operators:"
  ctl keygen-operator ines "$RUN/operator.token"
} >"$RUN/operators.yaml"

say "Start the stand-ins"
start kv "$PYTHON" -m standins.kv --port 23790
start platform "$PYTHON" -m standins.platform --port 7000 \
  --inventory examples/inventory.yaml
for i in 1 2 3; do
  start "engine-$i" "$PYTHON" -m standins.engine --port "810$i" \
    --models drafting-small
done
start orders "$PYTHON" -m standins.service --port 8201 --name orders
wait_for platform http://127.0.0.1:7000/vms

say "Start three routers, the administration program and the coordinator"
# router-b is the last to start and the first to stop: it holds the primary
# grant of bakery, and handing that over needs a new holder and a new witness.
for router in router-c router-a router-b; do
  start "$router" "$PYTHON" -m hibiscuspass.router.main "examples/$router.yaml"
done
start admin "$PYTHON" -m hibiscuspass.admin.main examples/admin.yaml
start coordinator "$PYTHON" -m hibiscuspass.coordinator.main examples/coordinator.yaml
wait_for router-a http://127.0.0.1:8001/readyz
wait_for router-b http://127.0.0.1:8002/readyz
wait_for router-c http://127.0.0.1:8003/readyz
wait_for admin http://127.0.0.1:8010/readyz
wait_for coordinator http://127.0.0.1:8011/readyz

say "Apply two templates: ample budgets and thin budgets"
change template-apply examples/templates/ample-budget.yaml --revision 0
change template-apply examples/templates/thin-budget.yaml --revision 0
change workspace-apply bakery --template ample-budget --revision 0 \
  --set 'models=[drafting-small]' service=orders
change workspace-apply hut-7 --template thin-budget --revision 0 \
  --set 'models=[drafting-small]'
change key-create bakery --file "$RUN/bakery.key"
change key-create hut-7 --file "$RUN/hut-7.key"
ctl workspace-status bakery --wait 10
ctl workspace-status hut-7 --wait 10 >/dev/null

say "Top up; the same id adds its amount once"
ctl top-up bakery 100000 --id invoice-1
ctl top-up bakery 100000 --id invoice-1
ctl top-up hut-7 5000 --id invoice-2 >/dev/null

# The keys reach curl through files, not through arguments that others can see.
curl_as() { # workspace arguments...
  local workspace=$1
  shift
  printf 'header = "Authorization: Bearer %s"\n' "$(<"$RUN/$workspace.key")" |
    curl --silent --show-error --max-time 30 --config - "$@"
}

say "Stream a completion through router-a"
curl_as hut-7 --no-buffer -H 'Content-Type: application/json' \
  http://127.0.0.1:8001/v1/chat/completions -d '{
    "model": "drafting-small", "stream": true, "max_tokens": 8,
    "messages": [{"role": "user", "content": "A notice for the hut door."}]}'

say "Place one non-repeatable order twice, on two routers, with one key"
for port in 8002 8003; do
  curl_as bakery -i -H 'Content-Type: application/json' \
    -H 'Idempotency-Key: order-4711' \
    "http://127.0.0.1:$port/services/orders/print-runs" \
    -d '{"discs": 500}'
  echo
done
runs=$(curl --silent http://127.0.0.1:8201/record)
echo "record of the order service: $runs"

say "Report"
sleep 2
ctl report bakery
echo
ctl report hut-7

say "Timeline of hut-7"
"$PYTHON" -m hibiscuspass.timeline.main examples/timeline.yaml --workspace hut-7 || true

say "Stop everything gracefully"
trap - EXIT
stop_all
echo "all processes have ended"
