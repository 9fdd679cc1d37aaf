#!/bin/sh
# Not one of the cases: see REPORT-2.md, "Found, and not a case".
folder=$(cd "$(dirname "$0")" && pwd)
case_program="$folder/../../build-review-2/zone_returns"
. "$folder/run-case.sh"
