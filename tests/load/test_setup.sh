#!/usr/bin/env bash
# Tests of tools/setup.sh with stand-ins for dpkg-query, apt-get, id and sudo. Prints TAP.
set -uo pipefail

cd "$(dirname "$0")/../.." || exit 1
stubs=$(mktemp -d)
readonly stubs
trap 'rm -rf "$stubs"' EXIT
number=0

check() {
    local name=$1
    shift
    number=$((number + 1))
    if "$@"; then
        printf 'ok %d /tools/setup/%s\n' "$number" "$name"
    else
        printf 'not ok %d /tools/setup/%s\n' "$number" "$name"
    fi
}

# stub NAME: the rest of the program comes on the standard input.
stub() {
    { printf '#!/bin/bash\n'; cat; } >"$stubs/$1"
    chmod +x "$stubs/$1"
}

# Packages named in $stubs/missing are not installed, until apt-get installs them.
stub dpkg-query <<STUB
grep -qx "\${!#}" "$stubs/missing" && exit 1
printf installed
STUB
stub apt-get <<STUB
echo "\$*" >>"$stubs/calls"
[ "\$1" = install ] && [ ! -e "$stubs/broken" ] && : >"$stubs/missing"
[ "\$1" != install ] || [ ! -e "$stubs/broken" ]
STUB
stub id <<STUB
cat "$stubs/uid"
STUB

# A PATH without sudo.
for program in bash env cat grep printf xargs; do
    ln -s "$(command -v "$program")" "$stubs/$program" 2>/dev/null
done

reset() {
    printf '%s' "$1" >"$stubs/missing"
    echo "$2" >"$stubs/uid"
    rm -f "$stubs/calls" "$stubs/broken"
}

run_setup() {
    PATH=$stubs tools/setup.sh "$@" >"$stubs/output" 2>&1
}

reset "" 0
check all_installed_succeeds run_setup build lint bench
check all_installed_calls_no_apt [ ! -e "$stubs/calls" ]

reset $'libcbor-dev\njq\n' 0
check missing_are_installed run_setup build
check only_missing_are_installed grep -q 'install .* libcbor-dev jq$' "$stubs/calls"

reset $'clang-tidy\n' 0
check other_sets_are_left_alone run_setup build
check other_sets_call_no_apt [ ! -e "$stubs/calls" ]

fails_naming() {
    local package=$1
    shift
    ! run_setup "$@" && grep -q "$package" "$stubs/output"
}

reset $'libcbor-dev\n' 1000
check no_root_and_no_sudo_names_the_package fails_naming libcbor-dev build

reset $'libcbor-dev\n' 0
touch "$stubs/broken"
check failed_install_names_the_package fails_naming libcbor-dev build

reset "" 0
check unknown_set_fails fails_naming other other

printf '1..%d\n' "$number"
