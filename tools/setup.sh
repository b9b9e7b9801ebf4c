#!/usr/bin/env bash
# Installs the Debian 12 packages that a target of the Makefile needs. Calls apt only if one is missing.
# Usage: tools/setup.sh [build|lint|bench]...   (default: build)
set -euo pipefail

readonly BUILD_PACKAGES=(
    build-essential pkg-config meson ninja-build
    liburcu-dev libglib2.0-dev libcbor-dev libmicrohttpd-dev libpq-dev libcurl4-openssl-dev
    libjson-glib-dev libsodium-dev libxxhash-dev zlib1g-dev libpg-query-dev libsqlite3-dev libevent-dev libjansson-dev libyajl-dev
    python3 curl jq bc
)
readonly LINT_PACKAGES=(clang-format clang-tidy cppcheck)
readonly BENCH_PACKAGES=(gnuplot-nox)

fail() {
    printf 'setup: %s\n' "$*" >&2
    exit 1
}

packages_of() {
    case "$1" in
    build) printf '%s\n' "${BUILD_PACKAGES[@]}" ;;
    lint) printf '%s\n' "${LINT_PACKAGES[@]}" ;;
    bench) printf '%s\n' "${BENCH_PACKAGES[@]}" ;;
    *) fail "unknown set of packages: $1 (build, lint or bench)" ;;
    esac
}

is_installed() {
    local status
    status=$(dpkg-query -W -f='${db:Status-Status}' "$1" 2>/dev/null) || return 1
    [ "$status" = installed ]
}

install_packages() {
    local -a as_root=()
    if [ "$(id -u)" -ne 0 ]; then
        command -v sudo >/dev/null ||
            fail "missing packages: $*. Run as root: apt-get install $*"
        as_root=(sudo)
    fi
    printf 'setup: installing %s\n' "$*"
    # The package lists may still suffice: a failed update is only a warning, a failed install is an error.
    "${as_root[@]}" apt-get update -qq </dev/null ||
        printf 'setup: apt-get update failed; trying with the present package lists\n' >&2
    "${as_root[@]}" env DEBIAN_FRONTEND=noninteractive \
        apt-get install -y -qq --no-install-recommends "$@" </dev/null >/dev/null ||
        fail "apt-get could not install: $*"
}

main() {
    local -a sets=("$@") missing=()
    [ "${#sets[@]}" -gt 0 ] || sets=(build)
    command -v dpkg-query >/dev/null ||
        fail "this is no Debian system. Needed: $(for set in "${sets[@]}"; do packages_of "$set"; done | xargs)"
    local set package names
    for set in "${sets[@]}"; do
        names=$(packages_of "$set")
        for package in $names; do
            is_installed "$package" || missing+=("$package")
        done
    done
    [ "${#missing[@]}" -eq 0 ] || install_packages "${missing[@]}"
    for package in "${missing[@]}"; do
        is_installed "$package" || fail "still missing after the installation: $package"
    done
}

main "$@"
