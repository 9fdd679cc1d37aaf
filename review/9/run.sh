#!/bin/sh
# TROUBLE=0 does the same without the disruption: no host is lost.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../common-2/run-case.sh"
