# Runs the case whose folder is $folder: sourced by its run.sh. The pooler is started by the deploy file's `run`.
set -u
ROOT=$(cd "$folder/../.." && pwd)
RUN=$(sed -n 's/^run = "\(.*\)" *#.*$/\1/p' "$ROOT/deploy/balancer.toml")
case_program="${case_program:-$ROOT/build-review-2/case$(basename "$folder")}"
[ -n "$RUN" ] && [ -x "$case_program" ] && [ -x "$ROOT/build/indigovane" ] || {
    echo "could not run: build with the deploy file's build line and review/build-2.sh first"
    exit 2
}
SCRATCH=$(mktemp -d) || exit 2
export ROOT RUN SCRATCH RECORD="$folder/record.txt"
timeout -k 2 115 "$case_program"
status=$?
[ -n "${KEEP_LOG:-}" ] && cp "$SCRATCH/pooler.log" "$KEEP_LOG"
rm -rf "$SCRATCH"
[ "$status" -le 2 ] || status=2
exit "$status"
