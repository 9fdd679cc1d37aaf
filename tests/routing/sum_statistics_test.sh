#!/bin/bash
# tools/sum-statistics on a small log of two poolers: SCRIPT.
set -u
statistics=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "FAILED: $*"; exit 1; }
line() { echo "<30>1 2026-12-01T00:00:00Z n indigovane 7 statistics [indigovane@32473 $1] since the line before"; }
{ line 'first="10" sent="9" ok="8" probes="2"'; echo "5.0 something else first=\"99\""; line 'first="5" probes="1"'; } > "$work/a"
line 'first="5" repeated="10" sent="6" refused="4"' > "$work/b"
out=$("$statistics" "$work/a" "$work/b") || fail "it ended with $?"
row() { echo "$out" | awk -v name="$1" '$1 == name {print $2, $3, $4, $5}'; }
[ "$(row first)" = "20 10.0 15 0.667" ] || fail "first: $(row first)"
[ "$(row probes)" = "3 1.5 3 0.100" ] || fail "probes: $(row probes)"
[ "$(row refused)" = "4 2.0 4 0.133" ] || fail "refused: $(row refused)"
echo "$out" | grep -q '^2 poolers, 3 lines' || fail "$out"
"$statistics" > "$work/out" 2>&1 && fail "no file, no mistake"
grep -q usage "$work/out" || fail "no usage text"
echo nothing > "$work/c"
"$statistics" "$work/c" > "$work/out" 2>&1 && fail "a log without statistics lines is an error"
echo "1 passed, 0 failed"
