#!/usr/bin/env bash
# Generates TypeScript from each package's .proto files into its src/gen folder.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in packages/*/proto; do
    npx buf generate "$dir" --template buf.gen.yaml --output "$(dirname "$dir")"
done
