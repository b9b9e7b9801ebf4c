#!/usr/bin/env bash
# Runs the tests of a build directory and ends with the line "N passed, N failed". Every TAP subtest
# counts; a program that dies counts as one failure. Tests in KNOWN-RED.txt are printed and passed over.
# Usage: tools/run-tests.sh [BUILD_DIRECTORY [ARGUMENT OF meson test]...]
set -euo pipefail

cd "$(dirname "$0")/.."
build_directory=${1:-build}
shift || true
log="$build_directory/meson-logs/testlog.json"

rm -f "$log"
# The exit code of meson is not used: it knows nothing of KNOWN-RED.txt. The log has every result.
meson test -C "$build_directory" --no-rebuild --print-errorlogs "$@" </dev/null || true
exec python3 tools/summarize_tests.py "$log" KNOWN-RED.txt
