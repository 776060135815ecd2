#!/usr/bin/env bash
# Runs all compiled test files with Node's test runner. Failures listed in KNOWN-RED.txt are printed, and don't fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find packages/*/dist platform/dist platform/testing/dist -name "*.test.js" | sort)
report=$(mktemp)
trap 'rm -f "$report"' EXIT
node --test --test-concurrency=4 --test-force-exit --test-timeout=180000 --test-reporter=spec "${files[@]}" | tee "$report" \
    || node scripts/knownred.mjs "$report"
