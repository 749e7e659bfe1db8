#!/usr/bin/env sh
# Runs all tests. Those that start a process with a crowd of clients come last and one at a time,
# as they measure the memory of that process. Arguments go to ava.
npx ava "$@"
first=$?
npx ava --config ava.clients.config.js "$@"
second=$?
[ "$first" -eq 0 ] && [ "$second" -eq 0 ]
