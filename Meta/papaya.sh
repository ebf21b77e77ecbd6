#!/usr/bin/env bash
# Installs the packages that papayaledge needs, builds it, and runs it or its tests. See usage() below.
set -euo pipefail

root=$(cd "$(dirname "$0")/.." && pwd)
build=${PAPAYA_BUILD:-$root/build}
packages=(g++ cmake ninja-build clang-format clang-tidy curl
    libcaf-dev libabsl-dev libeasyloggingpp-dev libboost-dev libflatbuffers-dev libinih-dev
    liblwip-dev libxxhash-dev nlohmann-json3-dev rapidjson-dev libcpp-httplib-dev libgtest-dev libbenchmark-dev librapidcheck-dev)

usage() {
    cat <<'USAGE'
usage: Meta/papaya.sh COMMAND
  demo    build, run a bounded load against a complete deployment on loopback, kill an entry daemon halfway through,
          print the outcomes
  up      build and run a complete deployment on loopback until Ctrl-C or SIGTERM
  test    install, build, check format, layers and lint, and run all tests
  build   install and build only
  format  format all C++ sources with clang-format
USAGE
}

install_packages() {
    local missing=()
    for package in "${packages[@]}"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

build_all() {
    cmake -S "$root" -B "$build" -G Ninja >/dev/null
    ninja -C "$build" --quiet
}

sources() {
    git -C "$root" ls-files '*.cpp' '*.h' | grep -v '_generated\.h$'
}

check_format() {
    (cd "$root" && sources | xargs clang-format --dry-run --Werror)
}

check_lint() {
    (cd "$root" && sources | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null)
}

case "${1:-}" in
demo)
    install_packages
    build_all
    exec "$build/bin/standin-demo" demo "${@:2}"
    ;;
up)
    install_packages
    build_all
    exec "$build/bin/standin-demo" up "${@:2}"
    ;;
build)
    install_packages
    build_all
    ;;
test)
    install_packages
    echo "== build"
    build_all
    echo "== layers"
    "$root/Meta/check_layers.sh"
    echo "== format"
    check_format
    echo "== lint"
    check_lint
    echo "== tests"
    "$root/Meta/run_tests.sh" "$build"
    ;;
format)
    (cd "$root" && sources | xargs clang-format -i)
    ;;
*)
    usage
    exit 2
    ;;
esac
