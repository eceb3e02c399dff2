#!/usr/bin/env bash
# The project's one entry point for people and for CI: set-up, build, checks, tests, demo and measurements.
set -euo pipefail

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BUILD="${EELGRASSHATCH_BUILD:-$ROOT/Build}"
JOBS="${EELGRASSHATCH_JOBS:-$(nproc)}"

usage() {
    cat <<'HELP'
usage: Meta/eelgrasshatch.sh COMMAND [ARGUMENTS]

  setup            install the Debian packages the project needs
  build            configure and build everything
  deploy-build     build only what runs on the users' platform, as deploy/system.toml does, into BUILD/deploy
  test             set-up, build, then all tests
  demo [NAME]      set-up, build, then the main job (midshires or kiprono; --json for machines)
  measure NAME     print FIGURE lines of one measurement (--seed N; "measure list" names them all)
  soak             disturb entry VMs that run as processes, and check the promises (--seed N, --seeds N, --minutes M)
  format           rewrite the sources with clang-format
  lint             check formatting and run clang-tidy
  generate         regenerate the committed protobuf and gRPC code from the schema files
  reference        rewrite docs/SETTINGS.md, docs/EVENTS.md and the table of docs/CAPACITY.md from the programs
  help [COMMAND]   this page, or one command's help
HELP
}

command_help() {
    case "$1" in
        setup) echo "setup: installs the packages of Meta/packages.txt that are missing. Needs apt-get and root." ;;
        build) echo "build: CMake and Ninja into Build/ (EELGRASSHATCH_BUILD overrides), programs in Build/bin." ;;
        deploy-build) echo "deploy-build: the platform's build in a folder of its own; fails if it needs more than it lists." ;;
        test) echo "test [CTEST ARGUMENTS]: runs ctest; KNOWN-RED.txt entries are reported apart." ;;
        demo) echo "demo [midshires|kiprono] [--json]: runs the main job; exit 1 if an invariant broke." ;;
        measure) echo "measure NAME [--seed N] [--plot DIR]: FIGURE <name> <value> <unit>, one a line; unknown name: exit 2." ;;
        soak) echo "soak [--seed N] [--seeds COUNT] [--minutes M] [--jobs J] [--seconds S]: exit 1 if a promise was broken." ;;
        format) echo "format: rewrites every .h and .cpp outside Generated folders." ;;
        lint) echo "lint [FILES]: clang-format check, then clang-tidy; exit 1 on a finding." ;;
        reference) echo "reference: pages that tests compare with the programs; docs/slopes.txt feeds the capacity table." ;;
        generate) echo "generate: runs protoc over Libraries/LibOperator and Libraries/LibStore schema files." ;;
        *) usage ;;
    esac
}

sources() {
    cd "$ROOT"
    git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp' | grep -v '/Generated/'
}

do_setup() {
    local missing=()
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done <"$ROOT/Meta/packages.txt"
    [ ${#missing[@]} -eq 0 ] && return 0
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install --no-install-recommends -y -qq "${missing[@]}" >/dev/null
}

do_build() {
    [ -f "$BUILD/build.ninja" ] || cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
    cmake --build "$BUILD" -j "$JOBS" "$@"
}

do_deploy_build() {
    # The same options as in deploy/system.toml.
    cmake -S "$ROOT" -B "$BUILD/deploy" -DCMAKE_BUILD_TYPE=Release -DEELGRASSHATCH_ENTRY_VM_ONLY=ON >/dev/null
    cmake --build "$BUILD/deploy" -j "$JOBS" --target entryd
}

do_test() {
    do_setup
    do_build
    "$ROOT/Meta/run-tests.sh" "$BUILD" "$JOBS" "$@"
}

do_format() {
    cd "$ROOT" && sources | xargs -r clang-format -i
}

do_lint() {
    cd "$ROOT"
    sources | xargs -r clang-format --dry-run --Werror
    [ -f "$BUILD/build.ninja" ] || cmake -S "$ROOT" -B "$BUILD" -G Ninja >/dev/null
    local files=("$@")
    [ ${#files[@]} -gt 0 ] || mapfile -t files < <(sources | grep '\.cpp$')
    "$ROOT/Meta/run-clang-tidy.sh" "$BUILD" "$JOBS" "${files[@]}"
}

do_reference() {
    do_build
    "$ROOT/Meta/reference.sh" "$BUILD" settings >"$ROOT/docs/SETTINGS.md"
    "$ROOT/Meta/reference.sh" "$BUILD" events >"$ROOT/docs/EVENTS.md"
    (cd "$ROOT" && "$BUILD/bin/eelgrasshatch-capacity")
}

do_demo() {
    do_setup
    do_build
    "$ROOT/Meta/demo.sh" "$BUILD" "$@"
}

do_measure() {
    do_setup >&2
    do_build >&2
    "$BUILD/bin/eelgrasshatch-measure" "$@"
}

do_soak() {
    do_setup
    do_build
    "$ROOT/Meta/soak.sh" "$BUILD" "$@"
}

main() {
    local command="${1:-help}"
    shift || true
    for argument in "$@"; do
        if [ "$argument" = "--help" ]; then
            command_help "$command"
            return 0
        fi
    done
    case "$command" in
        deploy-build) do_deploy_build ;;
        setup | build | test | demo | measure | soak | format | lint | reference) "do_$command" "$@" ;;
        generate) "$ROOT/Meta/generate.sh" "$@" ;;
        help | --help | -h) if [ $# -gt 0 ]; then command_help "$1"; else usage; fi ;;
        *)
            echo "eelgrasshatch.sh: unknown command '$command'; try 'help'" >&2
            return 2
            ;;
    esac
}

main "$@"
