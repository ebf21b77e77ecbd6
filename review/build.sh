#!/usr/bin/env bash
# The stand-ins of all scripts are in standins/deployment.py and need no build. This checks that they can run here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.path.insert(0, "standins"); import deployment' || {
    echo "python3 with its standard library is needed" >&2
    exit 2
}
