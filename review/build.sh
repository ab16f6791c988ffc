#!/bin/bash
# Builds the cases and the stand-ins that they import into target/review.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/tsconfig.json
