#!/usr/bin/env bash
# Needs target/ as the deploy file and review/build-2.sh build it.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
export RECORD=$folder/record.txt
rm -f "$RECORD"
timeout --signal=TERM 115 "target/review-2/case-$(basename "$folder")"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
