#!/usr/bin/env bash
# Runs two copies of the example at once: they must not use the same port, as when the tests of two working copies run at the same time.
# Usage: try_twice.sh TRY_POOLER BUILD_DIRECTORY
set -euo pipefail

"$1" --check "$2" &
first=$!
"$1" --check "$2" && second=0 || second=$?
wait "$first"
exit "$second"
