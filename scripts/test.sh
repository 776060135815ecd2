#!/usr/bin/env bash
# Runs all compiled test files with Node's test runner, those of crowds of clients one at a time and after the others.
# Failures listed in KNOWN-RED.txt are printed, and don't fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find packages/*/dist platform/dist platform/testing/dist -name "*.test.js" ! -name "crowdsat*" | sort)
mapfile -t crowds < <(find packages/*/dist platform/testing/dist -name "crowdsat*.test.js" | sort)
report=$(mktemp)
trap 'rm -f "$report"' EXIT

# Runs test files; arguments: how many at a time, the time limit of each in milliseconds, the files.
run() {
    local concurrency=$1 limit=$2
    shift 2
    node --test --test-concurrency="$concurrency" --test-force-exit --test-timeout="$limit" --test-reporter=spec "$@" \
        | tee "$report" || node scripts/knownred.mjs "$report"
}

status=0
run 4 180000 "${files[@]}" || status=$?
run 1 600000 "${crowds[@]}" || status=$?
exit "$status"
