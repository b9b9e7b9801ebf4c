#!/usr/bin/env bash
# The completion script, in the shell itself: it offers each command of swiftctl --help, and each option of each
# command's --help, no more; values where there is a choice; and nothing for free text.
# Usage: test_completion.sh SWIFTCTL SCRIPT
set -euo pipefail

readonly swiftctl=$1
number=0
failed=0

# shellcheck disable=SC1090
source "$2"

# The words offered for the last of the words given.
offered() {
    COMP_WORDS=("$@")
    COMP_CWORD=$(($# - 1))
    COMPREPLY=()
    _swiftctl
    printf '%s\n' "${COMPREPLY[@]}" | sort
}

expect() {
    local name=$1 expected=$2 found=$3
    number=$((number + 1))
    if [ "$expected" = "$found" ]; then
        printf 'ok %d %s\n' "$number" "$name"
    else
        printf 'not ok %d %s\n' "$number" "$name"
        printf '# expected: %s\n# found: %s\n' "${expected//$'\n'/ }" "${found//$'\n'/ }"
        failed=1
    fi
}

commands_of_help() {
    "$swiftctl" --help | sed -n '/^Commands:/,/^$/s/^  \([a-z-]*\) .*/\1/p'
}

options_of_help() {
    "$swiftctl" "$1" --help | sed -n '/Options:/,/^$/p' | grep -E '^  -' | sed 's/^  //; s/  .*//; s/=.*//; s/, /\n/'
}

expect commands "$({ commands_of_help && echo --help; } | sort)" "$(offered swiftctl '')"
while read -r command; do
    expect "options of $command" "$(options_of_help "$command" | sort)" "$(offered swiftctl "$command" -)"
done < <(commands_of_help)
expect 'start of a command' $'undrain' "$(offered swiftctl und)"
expect 'start of an option' $'--table\n--table-url\n--timeout-ms' "$(offered swiftctl history --t)"
expect 'values of an option' $'json\ntable' "$(offered swiftctl status --output '')"
expect 'values of its short form' $'json\ntable' "$(offered swiftctl status -o '')"
expect 'values after a sign' 'json' "$(offered swiftctl status --output = j)"
expect 'values right after a sign' $'json\ntable' "$(offered swiftctl status --output =)"
expect 'a choice of operands' $'daemon\ndatabase' "$(offered swiftctl drain d)"
expect 'operands of show' $'configuration\ngroup\ntenant' "$(offered swiftctl show '')"
expect 'free text' '' "$(offered swiftctl publish --message '')"
expect 'no command of this name' '' "$(offered swiftctl frobnicate -)"
printf '1..%d\n' "$number"
exit "$failed"
