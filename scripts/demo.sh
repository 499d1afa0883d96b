#!/usr/bin/env bash
# Starts stand-ins and three entry instances as separate processes on loopback,
# sends mixed calls while one entry instance is killed and another is drained, and
# prints the outcome of each call. Exits 1 unless all calls got a complete answer and
# the ledgers agree with the outcomes that callers were given.
set -euo pipefail
cd "$(dirname "$0")/.."

run=${DEMO_DIR:-demo-run}
rm -rf "$run"
mkdir -p "$run"

gate=bin/citrongate
standin=bin/citrongate-standin
zones=(zone-a zone-b zone-c)
desk_token=desk-trial-token
lab_token=lab-trial-token
operator_token=operator-trial-token

# stop_all ends every process that this script started and that is still running.
stop_all() {
  local pid
  for pid in $(jobs -rp); do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 20); do
    [ -z "$(jobs -rp)" ] && return
    sleep 0.1
  done
  # Entry instances may still be draining; they are killed.
  for pid in $(jobs -rp); do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 1' INT TERM

fail() {
  echo "demo: $1; logs are in $run/"
  exit 1
}

# start NAME COMMAND... runs a command in the background and writes its log to $run/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
}

# until_true SECONDS COMMAND... repeats a command until it succeeds.
until_true() {
  local tries=$(($1 * 10))
  shift
  for _ in $(seq "$tries"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  return 1
}

hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

mapfile -t port < <("$standin" ports -n 16)
platform=127.0.0.1:${port[0]}
engines=(127.0.0.1:"${port[1]}" 127.0.0.1:"${port[2]}" 127.0.0.1:"${port[3]}" 127.0.0.1:"${port[4]}")
services=(127.0.0.1:"${port[5]}" 127.0.0.1:"${port[6]}")
callers=(127.0.0.1:"${port[7]}" 127.0.0.1:"${port[8]}" 127.0.0.1:"${port[9]}")
admins=(127.0.0.1:"${port[10]}" 127.0.0.1:"${port[11]}" 127.0.0.1:"${port[12]}")
peers=(127.0.0.1:"${port[13]}" 127.0.0.1:"${port[14]}" 127.0.0.1:"${port[15]}")

echo "== stand-ins: platform, four unlike engines, two services"
start platform "$standin" platform --listen "$platform" --list-lag 300ms \
  --upstream engine-1 --upstream engine-2 --upstream engine-3 --upstream engine-4 --upstream ledger-1 --upstream ledger-2
start engine-1 "$standin" engine --listen "${engines[0]}" --model small --step-base 8ms --max-batch 32
start engine-2 "$standin" engine --listen "${engines[1]}" --model small --step-base 16ms --max-batch 16
start engine-3 "$standin" engine --listen "${engines[2]}" --model small --model large --step-base 12ms --max-batch 24 --check-fencing
start engine-4 "$standin" engine --listen "${engines[3]}" --model small --model large --step-base 25ms --max-batch 8 --cache-blocks 256
start ledger-1 "$standin" service --listen "${services[0]}" --work 15ms
start ledger-2 "$standin" service --listen "${services[1]}" --work 40ms
for name in platform engine-1 engine-2 engine-3 engine-4 ledger-1 ledger-2; do
  until_true 10 grep -q listening "$run/$name.log" || fail "$name did not start"
done

echo "== three entry instances"
entry_pid=()
for i in 0 1 2; do
  name=entry-$((i + 1))
  cat >"$run/$name.ini" <<INI
[instance]
name = $name
failure_domain = ${zones[$i]}
region = region-1

[listen]
caller = ${callers[$i]}
admin = ${admins[$i]}
peer = ${peers[$i]}

[platform]
address = $platform

[bootstrap]
operator_token_sha256 = $(hash_of "$operator_token")
INI
  "$gate" check -c "$run/$name.ini"
  start "$name" "$gate" serve -c "$run/$name.ini"
  entry_pid+=($!)
done

export CITRONGATE_TOKEN=$operator_token
ready() { "$gate" status --admin "$1" -o json | grep -q '"ready": true'; }
for i in 0 1 2; do
  until_true 15 "$gate" status --admin "${admins[$i]}" || fail "entry-$((i + 1)) did not start"
done

echo "== configuration"
sed -e "s/127.0.0.1:8201/${engines[0]}/; s/127.0.0.1:8202/${engines[1]}/; s/127.0.0.1:8203/${engines[2]}/" \
  -e "s/127.0.0.1:8204/${engines[3]}/; s/127.0.0.1:8301/${services[0]}/; s/127.0.0.1:8302/${services[1]}/" \
  examples/objects.json >"$run/objects.json"
"$gate" apply -f "$run/objects.json" --dry-run --admin "${admins[0]}"
"$gate" apply -f "$run/objects.json" --admin "${admins[0]}"
for i in 0 1 2; do
  until_true 15 ready "${admins[$i]}" || fail "entry-$((i + 1)) is not ready"
done
"$gate" explain --admin "${admins[1]}" --kind quote --organisation desk --model large

# wave NAME SEED SECONDS ARGS... sends mixed calls and prints one line per call.
wave() {
  local name=$1 seed=$2 seconds=$3
  shift 3
  local status=0
  "$standin" load --entry "${callers[0]}" --entry "${callers[1]}" --entry "${callers[2]}" \
    --seconds "$seconds" --seed "$seed" --lines \
    --service "${services[0]}" --service "${services[1]}" \
    --engine "${engines[0]}" --engine "${engines[1]}" --engine "${engines[2]}" --engine "${engines[3]}" \
    --flow "kind=quote,tier=0,model=small,rate=3,token=$desk_token" \
    --flow "kind=chat,tier=1,model=large,rate=2,max-tokens=120,token=$lab_token" \
    --flow "kind=digest,tier=2,model=small,rate=2,max-tokens=200,prompt-bytes=4000,deadline=20s,token=$lab_token" \
    --flow "kind=lookup,type=service,tier=1,rate=2,token=$desk_token" \
    --flow "kind=book,type=booking,tier=0,rate=3,token=$desk_token" \
    "$@" >"$run/$name.out" 2>&1 || status=$?
  sed "s/^/$name: /" "$run/$name.out"
  return "$status"
}

echo "== wave 1: all entries"
wave wave-1 1 4 || fail "wave 1 failed"

echo "== wave 2: entry-3 is killed (kill -9) while streams run through it"
echo "   (bookings use the entries that stay: a booking in progress at a killed entry is answered 'ran: unknown')"
wave wave-2 2 5 --no-bookings "${callers[2]}" &
wave_pid=$!
sleep 2.5
kill -KILL "${entry_pid[2]}"
wait "${entry_pid[2]}" 2>/dev/null || true
wait "$wave_pid" || fail "wave 2 failed"

echo "== wave 3: entry-2 is drained while all kinds of calls run through it"
wave wave-3 3 5 &
wave_pid=$!
sleep 1.5
"$gate" drain --admin "${admins[1]}" --wait --timeout 25s || fail "entry-2 did not stop"
wait "$wave_pid" || fail "wave 3 failed"
wait "${entry_pid[1]}" || fail "entry-2 did not exit cleanly after its drain"

echo "== status of the entry that is left"
"$gate" status --admin "${admins[0]}"

whole=0
sent=0
violations=0
for name in wave-1 wave-2 wave-3; do
  read -r w s v < <(sed -n 's|^load: \([0-9]*\)/\([0-9]*\) answered whole, \([0-9]*\) violations$|\1 \2 \3|p' "$run/$name.out")
  whole=$((whole + w))
  sent=$((sent + s))
  violations=$((violations + v))
done
echo "ledgers: $violations violations (a booking that ran twice, or ran although the caller was told it did not)"
echo "demo: $whole/$sent answered whole"
[ "$whole" = "$sent" ] && [ "$sent" -gt 0 ] && [ "$violations" = 0 ]
