#!/bin/bash
# Builds the cases and the stand-ins that they import. Not into target/, whose files a test of the project copies.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/tsconfig.json
