#!/usr/bin/env bash
# The stand-ins are modules of Node.js that need no compiler and no dependency, so there is
# nothing to build. They are checked for being readable.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
