#!/usr/bin/env bash
# Checks the format (clang-format), clang-tidy, cppcheck and the shell scripts' syntax.
# Usage: tools/lint.sh [BUILD_DIRECTORY]   LINT_JOBS sets the number of parallel checks.
set -euo pipefail

cd "$(dirname "$0")/.."
readonly build_directory=${1:-build}
readonly jobs=${LINT_JOBS:-$(nproc)}
readonly part_directories=(src platform standins bench tests)
failures=0

step() {
    local name=$1
    shift
    if "$@"; then
        printf 'lint: %s: clean\n' "$name"
    else
        printf 'lint: %s: FAILED\n' "$name"
        failures=$((failures + 1))
    fi
}

# Our own sources, NUL-separated; generated code has its own check (make generate-check).
own_files() {
    git ls-files -z --cached --others --exclude-standard -- "$@" |
        grep -zv '^src/generated/' || true
}

check_format() {
    own_files "${part_directories[@]/%/\/*.[ch]}" |
        xargs -0 -r -P "$jobs" -n 8 clang-format --dry-run -Werror
}

check_tidy() {
    own_files "${part_directories[@]/%/\/*.c}" |
        xargs -0 -r -P "$jobs" -n 1 clang-tidy --quiet -p "$build_directory" 2> >(grep -v ' warnings* generated' >&2)
}

check_cppcheck() {
    own_files "${part_directories[@]/%/\/*.c}" |
        xargs -0 -r -P "$jobs" -n 8 cppcheck --quiet --std=c11 --inline-suppr --error-exitcode=1 \
            --enable=warning,performance,portability --library=gtk \
            --suppress=missingIncludeSystem '-DG_GNUC_PRINTF(a,b)=' -Isrc
}

check_scripts() {
    local script status=0
    while IFS= read -r -d '' script; do
        bash -n "$script" || status=1
    done < <(own_files 'tools/*.sh' 'bench/*.sh' '.ci/run')
    return "$status"
}

step clang-format check_format
step clang-tidy check_tidy
step cppcheck check_cppcheck
step scripts check_scripts
[ "$failures" -eq 0 ]
