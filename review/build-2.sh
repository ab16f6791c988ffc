#!/bin/sh
# Builds the cases of the second review and all stand-ins that they start.
set -e
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/tsconfig.json
