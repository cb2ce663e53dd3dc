#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the product. Their stand-ins are plain modules that Node.js
# runs as they are, so they are only checked; no stand-in of the project is started.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
