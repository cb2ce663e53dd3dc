#!/usr/bin/env bash
# The stand-ins of this review are plain scripts, so there is nothing to compile: checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs */case.mjs; do
  node --check "$file"
done
