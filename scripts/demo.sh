#!/usr/bin/env bash
# Starts a small fleet on loopback, sends mixed traffic of three organisations through it for a few
# seconds, prints what each of them got, and stops everything that it started.
#
# It needs a Rust toolchain and a C compiler. The report and the plot are left in target/demo.
#
# It fails if an organisation got nothing, or if a request ended without a whole answer of its own and
# without a refusal.
#
#   DEMO_SECONDS   for how long requests arrive (10)
#   DEMO_PORT      the first of nine free ports of 127.0.0.1 (18200)
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${DEMO_SECONDS:-10}
port=${DEMO_PORT:-18200}
bin=target/debug
results=target/demo
work=$(mktemp -d)
pids=()
router_pids=()

# Ends what was started, the newest first, and waits for it.
stop() {
    local i
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill "${pids[$i]}" 2>/dev/null || true
    done
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        wait "${pids[$i]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
    printf 'demo: %s\n' "$*" >&2
    exit 1
}

# Starts a stand-in under a name and puts its address into the variable `address`.
address=
start_standin() {
    local name=$1
    shift
    : >"$work/$name.address"
    "$bin/examples/standin" "$@" >"$work/$name.address" 2>"$work/$name.err" &
    pids+=($!)
    for _ in {1..100}; do
        address=$(cat "$work/$name.address")
        [ -n "$address" ] && return
        sleep 0.1
    done
    cat "$work/$name.err" >&2
    fail "the stand-in $name does not start"
}

ctl() {
    "$bin/bulrushctl" --log "$log" --author demo "$@"
}

sha256() {
    printf '%s' "$1" | sha256sum | cut -c 1-64
}

callers() { printf '127.0.0.1:%d' $((port + $1 - 1)); }
peers() { printf '127.0.0.1:%d' $((port + 2 + $1)); }
operators() { printf '127.0.0.1:%d' $((port + 5 + $1)); }

# Starts router $1 in data centre $2.
start_router() {
    cat >"$work/router-$1.json" <<JSON
{
  "router": $1,
  "data_centre": "$2",
  "stop_timeout_ms": 1000,
  "callers": { "listen": "$(callers "$1")", "addresses_valid_ms": 1000 },
  "peers": { "listen": "$(peers "$1")", "fleet_key": "$fleet_key" },
  "operators": {
    "listen": "$(operators "$1")",
    "tokens_sha256": ["$(sha256 demo-operators)"]
  },
  "platform": { "log": "$log", "vms": "$vms" }
}
JSON
    "$bin/bulrushtrestled" --settings "$work/router-$1.json" >"$work/router-$1.log" 2>&1 &
    pids+=($!)
    router_pids+=($!)
}

# Gives up if a router has ended, for example because another process holds its port.
check_routers() {
    local i
    for i in "${!router_pids[@]}"; do
        if ! kill -0 "${router_pids[$i]}" 2>/dev/null; then
            cat "$work/router-$((i + 1)).log" >&2
            fail "router $((i + 1)) has ended"
        fi
    done
}

three_live='"live":\[[0-9]+,[0-9]+,[0-9]+\]'

# Waits until a router takes requests and sees all three.
await_router() {
    local status
    for _ in {1..100}; do
        check_routers
        status=$("$bin/bulrushctl" --json --router "$(operators "$1")" \
            --router-token-file "$work/operators-token" status 2>/dev/null || true)
        if [[ $status == *'"ready":true'* && $status =~ $three_live ]]; then
            return
        fi
        sleep 0.2
    done
    tail -n 5 "$work/router-$1.log" >&2
    fail "router $1 is not ready: $status"
}

echo "== building"
cargo build --locked --quiet --package bulrushtrestled --package bulrushctl
cargo build --locked --quiet --package bulrushtrestle-standin --examples
mkdir -p "$results"
printf 'demo-operators' >"$work/operators-token"
fleet_key=$(sha256 "$RANDOM$RANDOM$RANDOM$RANDOM")

echo "== starting the platform and the targets"
start_standin log log
log=$address
vm() {
    printf '{"id":%d,"role":"%s","address":"%s","data_centre":"%s"}' "$1" "$2" "$3" "$4"
}
start_standin engine-1 engine --pool drafts --slots 4 --token-ms 20
engine_1=$address
start_standin engine-2 engine --pool drafts --slots 4 --token-ms 20
engine_2=$address
start_standin desk plain --slots 2 --call-ms 50
desk=$address
list="$(vm 1 router "$(peers 1)" a),$(vm 2 router "$(peers 2)" a),$(vm 3 router "$(peers 3)" b)"
list="$list,$(vm 11 target "$engine_1" a),$(vm 12 target "$engine_2" b),$(vm 13 target "$desk" a)"
start_standin vms vms --vms "{\"vms\":[$list]}"
vms=$address

echo "== publishing the catalogue"
ctl data-centre put a --region flanders
ctl data-centre put b --region flanders
ctl pool put drafts --service model
ctl pool put desk --service plain
ctl target put engine-1 --vm 11 --address "$engine_1" --data-centre a --pool drafts \
    --version v1 --slots 4 --checks-fence true
ctl target put engine-2 --vm 12 --address "$engine_2" --data-centre b --pool drafts \
    --version v1 --slots 4 --checks-fence true
ctl target put desk --vm 13 --address "$desk" --data-centre a --pool desk --version v1 --slots 2
for name in federation club school; do
    ctl organisation put "$name" --owner "$name" --waiting 20 --token-sha256 "$(sha256 "demo-$name")"
done
ctl get

echo "== starting three routers"
start_router 1 a
start_router 2 a
start_router 3 b
for router in 1 2 3; do
    await_router "$router"
done
# Routers that start wait out the terms that former owners of targets may have granted, and ask for reports.
echo "== waiting 6 s until the targets' slots are handed out"
sleep 6

# Two engines of four slots make 400 tokens a second. The federation alone asks for more.
cat >"$work/experiment.json" <<JSON
{
  "seeds": ["$(callers 1)", "$(callers 2)", "$(callers 3)"],
  "seconds": $seconds,
  "organisations": [
    { "name": "federation", "token": "demo-federation", "streams": [
      { "kind": "chat", "pool": "drafts", "per_second": 12, "answer_tokens": 40, "echo": true }
    ] },
    { "name": "club", "token": "demo-club", "streams": [
      { "kind": "chat", "pool": "drafts", "per_second": 6, "answer_tokens": 40, "echo": true },
      { "kind": "plain", "pool": "desk", "path": "/stock", "per_second": 5, "call_ms": 50,
        "echo": true }
    ] },
    { "name": "school", "token": "demo-school", "streams": [
      { "kind": "chat", "pool": "drafts", "per_second": 2, "answer_tokens": 10, "echo": true },
      { "kind": "plain", "pool": "desk", "path": "/book", "per_second": 2, "call_ms": 50,
        "once": true, "echo": true }
    ] }
  ]
}
JSON

echo "== sending traffic for $seconds s"
# In the background, because the shell handles no signal while it runs a command in the foreground.
"$bin/bulrushctl" load "$work/experiment.json" --strict \
    --report "$results/report.json" --plot "$results/plot.svg" &
pids+=($!)
wait "${pids[-1]}"

echo "== stopping"
stop
trap - EXIT
echo "The report and the plot are in $results."
