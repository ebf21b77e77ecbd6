"""Another writer adds an entry of its own among those of the backends: it names a service of its own on the machine of a backend."""

import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import deployment as d  # noqa: E402

FRONTS = {"front-a-1": "127.20.1.1", "front-a-2": "127.20.1.2"}
SIDES = {"side-a-1": "127.20.2.1", "side-a-2": "127.20.2.2", "side-a-3": "127.20.2.3"}
FLOWS = 24
PAUSE_S = 0.4
OTHER_WRITER_AT_S = 6
STOP_AT_S = 12
END_AT_S = 22
OTHER_PORT = 9100


def body(deployment, has_trouble):
    record = deployment.record
    deployment.publish_routes([deployment.route("r-report", "127.20.100.1", "ledger", "non_idempotent")])
    for number, (name, machine) in enumerate(SIDES.items(), 1):
        deployment.add_backend(f"i-{number}", machine, "ledger").register()
        deployment.add_side(name, machine, "ledger")
    seeds = [deployment.seed(machine) for machine in FRONTS.values()]
    for name, machine in FRONTS.items():
        deployment.add_front(name, machine, seeds)
    deployment.wait_until_ready()
    deployment.router.start()
    deployment.run_until(record.now() + 1)
    for _ in range(FLOWS):
        deployment.clients.open(deployment.routes[0], PAUSE_S)
    deployment.clients.start()
    deployment.run_until(OTHER_WRITER_AT_S)
    if deployment.clients.answered < FLOWS:
        raise d.CannotRun("the deployment does not serve")

    if has_trouble:
        # The service is none of the configuration's, so the entry names no backend to use.
        deployment.store.put("servers/node-metrics-2", json.dumps({
            "Service": "node-metrics", "Address": f"{SIDES['side-a-2']}:{OTHER_PORT}", "Zone": "a", "Version": "v1", "Slots": 4,
            "State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": int(time.time() * 1000)}))
    deployment.run_until(STOP_AT_S)
    deployment.stop("front-a-1")
    deployment.run_until(END_AT_S)

    clients = deployment.clients
    record.write("total", requests=clients.requests, answered=clients.answered, ended=dict(clients.ended), exits=deployment.exits)
    print("requests", clients.requests, "answered", clients.answered, "ended", dict(clients.ended),
          "open by backend", dict(clients.answers_by_backend()), "exits", deployment.exits)
    # FLOW (a). Every backend has lived all the while. front-a-2 has run since the beginning.
    return [f"FLOW: {d.name_of(reset['flow'])} got a reset that its backend {reset['backend']} did not send, "
            f"{reset['at'] - record.start - STOP_AT_S:.1f} s after the planned stop of front-a-1; {reset['taken_by']} took its packets"
            for reset in clients.resets if reset["is_own"] and reset["taken_by"] == "front-a-2"]


sys.exit(d.run_case(FOLDER, body))
