#!/usr/bin/env bash
# Checks the layering of the libraries. Includes go in one direction only: LibTransport -> LibProtocol -> LibCoordination ->
# LibBalancing -> LibState. LibState, LibBalancing and LibCoordination do no I/O and read no clock. No library includes a header of a program or of the platform
# code.
set -euo pipefail
cd "$(dirname "$0")/.."

failed=0
forbid() {
    local folder=$1 pattern=$2 why=$3
    if grep -rnE "$pattern" --include='*.h' --include='*.cpp' "$folder"; then
        echo "layers: $folder: $why" >&2
        failed=1
    fi
}

forbid Libraries/LibState '#include "Lib(Balancing|Coordination|Protocol|Transport)/' 'includes a header of a higher layer'
forbid Libraries/LibBalancing '#include "Lib(Coordination|Protocol|Transport)/' 'includes a header of a higher layer'
forbid Libraries/LibCoordination '#include "Lib(Protocol|Transport)/' 'includes a header of a higher layer'
forbid Libraries/LibProtocol '#include "LibTransport/' 'includes a header of a higher layer'
forbid Libraries '#include "(.*/)?(EntryDaemon|TargetAgent|Deployment)/' 'a library includes a header of a program'
forbid Libraries '#include "platform/' 'a library includes a header of the platform code'
for pure in Libraries/LibState Libraries/LibBalancing Libraries/LibCoordination; do
    forbid "$pure" '#include <(sys/|unistd|fcntl|thread|mutex|random|fstream|iostream|caf/)' 'uses I/O, threads or random numbers'
    forbid "$pure" '_clock::now\(' 'reads a clock'
done
exit $failed
