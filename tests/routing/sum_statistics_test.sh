#!/bin/bash
# Checks the sums that tools/sum-statistics prints for the small logs of two poolers. Usage: sum_statistics_test.sh SCRIPT
set -u
statistics=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() { echo "FAILED: $*"; exit 1; }
line() { echo "<30>1 2026-12-01T00:00:00Z n indigovane 7 statistics [indigovane@32473 $1] counts since the previous statistics line"; }
{ line 'first_requests="10" attempts="9" attempts_ok="8" health_checks="2"'; echo "5.0 something else first_requests=\"99\""; line 'first_requests="5" health_checks="1"'; } > "$work/a"
line 'first_requests="5" client_retries="10" attempts="6" rejected_requests="4"' > "$work/b"
out=$("$statistics" "$work/a" "$work/b") || fail "sum-statistics ended with status $?"
row() { echo "$out" | awk -v name="$1" '$1 == name {print $2, $3, $4, $5}'; }
[ "$(row first_requests)" = "20 10.0 15 0.667" ] || fail "first_requests: $(row first_requests)"
[ "$(row health_checks)" = "3 1.5 3 0.100" ] || fail "health_checks: $(row health_checks)"
[ "$(row rejected_requests)" = "4 2.0 4 0.133" ] || fail "rejected_requests: $(row rejected_requests)"
echo "$out" | grep -q '^2 poolers, 3 lines' || fail "$out"
"$statistics" > "$work/out" 2>&1 && fail "sum-statistics without a file did not fail"
grep -q usage "$work/out" || fail "sum-statistics without a file printed no usage text"
echo nothing > "$work/c"
"$statistics" "$work/c" > "$work/out" 2>&1 && fail "sum-statistics did not fail on a log without statistics lines"
echo "1 passed, 0 failed"
