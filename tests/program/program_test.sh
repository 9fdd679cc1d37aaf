#!/bin/bash
# Runs the programs of deploy/balancer.toml from the command line. Arguments: PROGRAM ADAPTER.
# No response time is checked; the time limits only end a program that hangs.
set -u
program=$1 adapter=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "FAILED: $*"; cat "$work"/* 2>/dev/null; exit 1; }

# The adapter answers an empty batch and exits at the end of its input.
[ "$(printf 'SYNC timeMs=1.0 frame=1\nOVER_TO_YOU\n\n' | "$adapter")" = "EOR frame=1" ] || fail "adapter"

cat > "$work/config.json" <<'J'
{"name":"t1","listen":"127.0.0.1:0","control":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":{"rev":1,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9"}]},
 "settings":{"azs":["a"],"allowed":{"connectTimeoutMs":250.0},"registryMode":"automatic",
  "classes":[{"name":"stock-view","effect":"retryable","sloMs":250.0,"hardLimitMs":1000.0,"worth":1.0}]}}
J
echo '{"enabled":true,"listen":"127.0.0.1:0"}' > "$work/rest.json"

expect() {  # expect STATUS TEXT COMMAND...: COMMAND exits with STATUS and prints TEXT to standard output or error
    local status=$1 text=$2 got out
    shift 2
    out=$("$@" 2>&1)
    got=$?
    [ "$got" = "$status" ] || fail "'$*' ended with $got, not $status: $out"
    case "$out" in *"$text"*) ;; *) fail "'$*' did not say '$text': $out" ;; esac
}
unset LB_CONFIG LB_NAME LB_LISTEN LB_DISCOVERY
expect 0 "indigovane 0" "$program" version
expect 0 "check-config" "$program" help
expect 2 "unknown command" "$program" dance
expect 2 "command is missing" "$program"
expect 2 "LB_CONFIG" "$program" serve
expect 2 "unrecognised option" "$program" serve --nonsense
expect 1 "can't read" "$program" check-config --config "$work/none.json"
echo '{"listen":"nowhere"' > "$work/bad.json"
expect 1 "bad.json" "$program" serve --config "$work/bad.json"
sed 's/"sockets":256/"sockets":80/' "$work/config.json" > "$work/few.json"
expect 1 "limits.sockets: at least 113" timeout 20 "$program" serve --config "$work/few.json"
expect 0 "REST front on" "$program" check-config --config "$work/config.json" --rest "$work/rest.json"
expect 0 "REST front off" "$program" check-config --config "$work/config.json"
expect 0 "1 zones watched" "$program" check-config --config "$work/config.json" --sites "$(dirname "$0")/../../deploy/sites.toml"

# Each statement from standard input gives one line of JSON, even an invalid one.
got=$(printf 'SELECT 1\nSELECT nextval(1)\nSELECT "broken\n' | "$program" shapes classify | cut -d, -f2,3 | tr '\n' ' ')
[ "$got" = '"kind":"read","route":"replica" "kind":"write","route":"primary" "kind":"invalid","route":"refuse" ' ] ||
    fail "shapes classify said $got"
printf '[[function]]\nname = 5\n' > "$work/rules.toml"
expect 1 "rules.toml:2:8: name" "$program" shapes explain --rules "$work/rules.toml" "SELECT 1"
expect 2 "shapes classify" "$program" shapes

# deploy/balancer.toml must name every package that packages.txt lists for a build.
here=$(dirname "$0")/../..
for p in $(awk '$1 == "build" && $2 !~ /^(g\+\+|cmake|make)$/ {print $2}' "$here/packages.txt"); do
    grep -q "^packages.*\"$p\"" "$here/deploy/balancer.toml" || fail "deploy/balancer.toml lacks $p"
done

# The store commands: dump prints the records that load has read. verify exits with 3 for a torn tail and with 4 for
# damage. A damaged store is not written to.
printf '{"space":"hosts","key":"s-9","value":"out"}\n{"space":"positions","key":"00000000000000ff","value":{"commit_us":5,"open":false}}\n' > "$work/lines"
"$program" store load "$work/kept" < "$work/lines" > /dev/null || fail "store load"
"$program" store dump "$work/kept" | sed 's/,"sequence":[0-9]*//' | sort | cmp -s - <(sort "$work/lines") || fail "store dump differs from the loaded records"
expect 0 "s-9" "$program" store get "$work/kept" hosts s-9
expect 1 "no such key" "$program" store get "$work/kept" hosts s-8
expect 0 '"live_records": 2' "$program" store stat "$work/kept"
expect 0 "whole" "$program" store verify "$work/kept"
printf '{"space":"hosts","key":"s-1","value":"out"}\n{"space":"nowhere"}\n' > "$work/lines"
"$program" store load "$work/kept" < "$work/lines" > "$work/out" 2>&1 && fail "store load accepted a malformed line"
grep -q "line 2: space" "$work/out" || fail "store load did not name the line"
expect 1 "no such key" "$program" store get "$work/kept" hosts s-1
expect 0 "2 records" "$program" store compact "$work/kept"
segment=$(ls "$work"/kept/*.seg | tail -1)
printf 'garbage' >> "$segment"
expect 3 "torn tail" "$program" store verify "$work/kept"
cp "$work/kept/MANIFEST" "$work/manifest"
printf 'x' | dd of="$work/kept/MANIFEST" bs=1 seek=20 conv=notrunc 2>/dev/null
expect 4 "MANIFEST" "$program" store verify "$work/kept"
before=$(cat "$work"/kept/* | cksum)
expect 1 "damaged" "$program" store compact "$work/kept"
[ "$before" = "$(cat "$work"/kept/* | cksum)" ] || fail "a damaged store was written to"
expect 2 "store dump" "$program" store shake "$work/kept"
# A store that version 789d1a3 wrote, with a record of every space, must give the records that it gave to that version.
cp -r "$here/tests/corpus/store-of-789d1a3" "$work/earlier"
expect 0 "whole: 8 records" "$program" store verify "$work/earlier"
"$program" store dump "$work/earlier" | cmp -s - "$here/tests/corpus/store-of-789d1a3.jsonl" || fail "the records of an earlier version's store differ"
rm -r "$work/kept"

export TMPDIR="$work/scratch"
mkdir "$TMPDIR" "$work/disk"
# A SIGHUP that arrives while the configuration is being read must not end the process: the configuration is read
# again.
mkfifo "$work/fifo"
: > "$work/log"  # cleared here, so that lines of the previous process are not read as lines of the next one
"$program" serve --config "$work/fifo" > "$work/log" 2>&1 &
pid=$!
exec 5> "$work/fifo"  # blocks until the program has opened the fifo; the program reads until descriptor 5 is closed
kill -HUP $pid
cat "$work/config.json" >&5
exec 5>&-
# Once the program serves, it has finished its first read. An earlier second writer would write into that read.
for _ in $(seq 400); do grep -q "phase.*serving" "$work/log" && break; sleep 0.05; done
timeout 20 sh -c "cat '$work/config.json' > '$work/fifo'" || fail "a SIGHUP during the start was lost"
for _ in $(seq 400); do grep -q "reload.*read again" "$work/log" && break; sleep 0.05; done
grep -q "reload.*read again" "$work/log" || fail "a SIGHUP during the start did not reload the configuration"
kill -TERM $pid
wait $pid || fail "the process exited with an error after an early SIGHUP"
rm -f "$TMPDIR"/t1.*
printf '[store]\nfolder = "%s"\n' "$work/disk" > "$work/store.toml"
# A process is killed and its scratch folder is lost: the next process still excludes the same hosts.
: > "$work/log"  # cleared here, so that lines of the previous process are not read as lines of the next one
"$program" serve --config "$work/config.json" --store "$work/store.toml" > "$work/log" 2>&1 &
pid=$!
said() {  # said TEXT: waits until the log has TEXT
    for _ in $(seq 400); do grep -q "$1" "$work/log" && return; sleep 0.05; done
    fail "the log never had '$1'"
}
call() {  # call LINE ANSWER: sends LINE to the control address, whose port is in the log; the reply begins with ANSWER
    local port got
    port=$(sed -n 's/.*listening.*front="control" at="127.0.0.1:\([0-9]*\)".*/\1/p' "$work/log")
    exec 4<>"/dev/tcp/127.0.0.1/$port" || fail "the control address does not listen"
    echo "$1" >&4
    read -r got <&4
    exec 4>&-
    case "$got" in "$2"*) ;; *) fail "'$1' was answered '$got', not '$2'" ;; esac
}
said 'phase.*serving'
call "set-down s-1" "+OK taken out"
kill -KILL $pid
wait $pid 2>/dev/null
rm -f "$TMPDIR"/t1.down
: > "$work/log"  # cleared here, so that lines of the previous process are not read as lines of the next one
"$program" serve --config "$work/config.json" --store "$work/store.toml" > "$work/log" 2>&1 &
pid=$!
said 'phase.*serving'
grep -qx s-1 "$TMPDIR/t1.down" || fail "the store lost an excluded host"
call "set-up s-1" "+OK in use"
expect 1 "another process" "$program" store dump "$work/disk"
kill -TERM $pid
wait $pid || fail "the process exited with an error"
grep -q "store.*closed" "$work/log" || fail "the store was not closed"
expect 0 "whole" "$program" store verify "$work/disk"
rm -f "$TMPDIR"/t1.*
cat > "$work/statements.toml" <<'T'
[statements]
open = true
[limits]
enabled = true
T
expect 0 "statements open" "$program" check-config --config "$work/config.json" --statements "$work/statements.toml"
expect 0 "limits     off" "$program" check-config --config "$work/config.json"
expect 0 "route     replica" "$program" shapes explain --rules "$here/deploy/statements.toml" "SELECT 1"
printf '[statements]\nread_class = "nobody"\n' > "$work/other.toml"
expect 1 "no class 'nobody'" "$program" check-config --config "$work/config.json" --statements "$work/other.toml"
: > "$work/log"  # cleared here, so that lines of the previous process are not read as lines of the next one
"$program" serve --config "$work/config.json" --rest "$work/rest.json" --statements "$work/statements.toml" > "$work/log" 2>&1 &
pid=$!
for _ in $(seq 400); do grep -q "phase.*serving" "$work/log" && break; sleep 0.05; done
grep -q "phase.*serving" "$work/log" || fail "the process never served"
port=$(sed -n 's/.*listening.*front="rest" at="127.0.0.1:\([0-9]*\)".*/\1/p' "$work/log")
exec 3<>"/dev/tcp/127.0.0.1/$port" || fail "the REST front does not listen"
printf 'GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' >&3
grep -q '"serving"' <&3 || fail "the REST front does not answer"
exec 3>&-
call check "+OK serving"
call "set-down s-2" "-ERR"
call "set-down s-1" "+OK"
grep -qx s-1 "$TMPDIR/t1.down" || fail "an excluded host is not stored"
call "set-down s-1" "+OK"
call "set-up s-1" "+OK"
grep -q s-1 "$TMPDIR/t1.down" && fail "a readmitted host is still stored as excluded"
call shapes "+OK ["
call "shapes many" "-ERR"
call drain-on "+OK"
call check "-ERR"
said 'phase.*away'
call drain-off "+OK"
call "check" "+OK"
call "no-such-call" "-ERR"

# SIGHUP: an invalid file changes nothing, a valid one changes the discovery service; neither ends the program.
cp "$work/config.json" "$work/first.json"
echo '{"listen":' > "$work/config.json"
kill -HUP $pid
said 'reload.*kept="the old configuration"'
cp "$work/first.json" "$work/config.json"
printf '[limits]\nwait = 2\n' > "$work/statements.toml"
kill -HUP $pid
said 'statements.toml:2:8: wait'
printf '[statements]\nopen = true\n[limits]\nenabled = true\nwork = "1s"\n' > "$work/statements.toml"
sed 's/,"worth":1.0//' "$work/first.json" > "$work/config.json"
kill -HUP $pid
said "'settings.classes\\[\\].worth' is missing"
sed 's/"discovery":"127.0.0.1:9"/"discovery":"127.0.0.1:10"/; s/]}}$/,{"name":"two","effect":"retryable","sloMs":250.0,"hardLimitMs":500.0,"worth":2.0}]}}/; s/"sockets":256/"sockets":300/' "$work/first.json" > "$work/config.json"
kill -HUP $pid
said 'reload.*discovery="127.0.0.1:10"'
said 'reload.*classes="2"'
said 'take effect at the next start'
said 'phase.*reloading'
# An upgrade: a second process inherits the listener, and the first one exits once its clients are handed over.
"$program" serve --config "$work/config.json" --rest "$work/rest.json" --statements "$work/statements.toml" > "$work/log2" 2>&1 &
successor=$!
for _ in $(seq 400); do grep -q "phase.*serving" "$work/log2" && break; sleep 0.05; done
grep -q "phase.*inheriting" "$work/log2" || fail "the second process did not find the first one"
said 'another process serves as well'
exec 3<>"/dev/tcp/127.0.0.1/$port"
printf 'GET /health HTTP/1.1\r\n' >&3
sleep 0.1
kill -TERM $pid
wait $pid
[ $? = 0 ] || fail "the first process exited with an error"
printf 'Host: h\r\nConnection: close\r\n\r\n' >&3
grep -q '"serving"' <&3 || fail "a client's connection did not continue at the second process"
exec 3>&-
grep -q 'phase.*handing over' "$work/log" || fail "the first process did not hand over"
pid=$successor
mv "$work/log2" "$work/log"
call check "+OK serving"
# While a client with an incomplete request delays the stop, the process must not use the processor: half a second of
# processor time would mean a loop that wakes itself.
exec 3<>"/dev/tcp/127.0.0.1/$port"
printf 'GET /health HTTP/1.1\r\n' >&3
kill -TERM $pid
said 'phase.*draining'
sleep 1
ticks=$(awk '{print $14 + $15}' /proc/$pid/stat 2>/dev/null)
[ "${ticks:-0}" -lt 50 ] || fail "the process used $ticks ticks of processor time while it stopped"
exec 3>&-
wait $pid
status=$?
[ $status = 0 ] || fail "the process exited with $status after SIGTERM"
grep -q "phase.*stopped" "$work/log" || fail "the phase 'stopped' was skipped"
echo "1 passed, 0 failed"
