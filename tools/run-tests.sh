#!/usr/bin/env bash
# Runs the tests of a build directory and ends with the line "N passed, N failed". Every TAP subtest
# counts; a program that crashes counts as one failure. Failures listed in KNOWN-RED.txt are printed, not counted.
# Usage: tools/run-tests.sh [BUILD_DIRECTORY [ARGUMENT OF meson test]...]
set -euo pipefail

cd "$(dirname "$0")/.."
build_directory=${1:-build}
shift || true
log="$build_directory/meson-logs/testlog.json"

rm -f "$log"
# The exit code of meson is ignored, because meson does not know KNOWN-RED.txt. The log has every result.
meson test -C "$build_directory" --no-rebuild --print-errorlogs "$@" </dev/null || true
exec python3 tools/summarize_tests.py "$log" KNOWN-RED.txt
