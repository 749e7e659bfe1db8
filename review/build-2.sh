#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. They are plain JavaScript modules in
# review/lib-2, so there is nothing to compile; this checks that all of them can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
