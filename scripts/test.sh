#!/usr/bin/env bash
# Runs every compiled test file with Node's test runner.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find packages/*/dist platform/dist platform/testing/dist -name "*.test.js" | sort)
exec node --test --test-concurrency=4 --test-force-exit --test-timeout=180000 --test-reporter=spec "${files[@]}"
