#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start besides the project's programs, which the build command of the deploy
# file makes. The stand-ins are plain JavaScript without dependencies, so there is nothing to compile; they are checked only.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/play.mjs; do
    [ ! -f "$file" ] || node --check "$file"
done
test -f ../target/winchpathd.cjs || echo "target/winchpathd.cjs is missing: run the build command of deploy/system.toml first" >&2
