#!/usr/bin/env bash
# Runs all tests in the build folder given as the first argument. Tests listed in KNOWN-RED.txt may fail: they are run, and
# their failures are printed but do not count. Any other failure makes this script fail, and so does any test that was not run,
# listed or not.
set -uo pipefail
export LC_ALL=C
root=$(cd "$(dirname "$0")/.." && pwd)
build=$1
report=$(mktemp)
trap 'rm -f "$report"' EXIT

list_known_failures() {
    sed -nE 's/^test: *([^ ]+).*/\1/p' "$root/KNOWN-RED.txt" 2>/dev/null
}

# Prints the lines of the report's last list of failed tests, such as "12 - Suite.name (Failed)", without the indentation. The output
# of tests, which is also in the report, comes before that list.
list_failed_lines() {
    awk '/^The following tests FAILED:/ { lines = ""; isListed = 1; next }
        isListed && !/^[[:space:]]*[0-9]+ - / { isListed = 0 }
        isListed { sub(/^[[:space:]]*/, ""); lines = lines $0 "\n" }
        END { printf "%s", lines }' "$report"
}

ctest --test-dir "$build" --output-on-failure --no-tests=error -j 3 -O "$report"
status=$?
[ $status -eq 0 ] && exit 0

failed_lines=$(list_failed_lines)
not_run=$(sed -nE 's/^[0-9]+ - (.*) \(Not Run\)[[:space:]]*$/\1/p' <<<"$failed_lines" | sort -u)
failed=$(sed -E 's/^[0-9]+ - (.*) \([^()]*\)[[:space:]]*$/\1/' <<<"$failed_lines" | sort -u)
unexpected=$(comm -23 <(echo "$failed") <(list_known_failures | sort -u))
if [ -z "$failed" ] || [ -n "$unexpected" ] || [ -n "$not_run" ]; then
    echo "unexpected failures: ${unexpected:-${not_run:-unknown}}" >&2
    [ -z "$not_run" ] || echo "not run: $not_run" >&2
    exit 1
fi
echo "ignored failures (listed in KNOWN-RED.txt):"
echo "$failed"
