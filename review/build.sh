#!/usr/bin/env bash
# Builds what the scripts start besides the project's own program. The stand-ins are plain modules, so they are checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
