#!/usr/bin/env python3
"""Shows the main path on real processes, one line for each step."""

import pathlib
import sys
import time

from cluster import Cluster, request, wait_until

FIRST_DOCUMENT = """\
[document]
format = 1

[service booking]
[service rooms]

[route find-room]
service = rooms
path = /rooms
methods = GET
class = lookup

[route book-slot]
service = booking
path = /bookings
methods = POST
class = booking

[route birthday-offer]
service = booking
path = /offers/birthday
methods = GET
class = lookup

[job birthday-mails]
route = birthday-offer
every = 1s
"""

# The birthday feature is retired: its route and its job are gone.
SECOND_DOCUMENT = FIRST_DOCUMENT[: FIRST_DOCUMENT.index("[route birthday-offer]")]

DATA_CENTRES = ("quito-north", "quito-south")
NODES = 6
ENDPOINT_SECONDS = 20
QUIET_SECONDS = 3


class Demo:
    def __init__(self, cluster):
        self.cluster = cluster

    def start_processes(self):
        self.cluster.start_platform()
        for index in range(NODES):
            self.cluster.add_node(
                data_centre=DATA_CENTRES[index % 2],
                region="ecuador",
                service="booking" if index < 4 else "rooms",
            )
        for node in self.cluster.nodes:
            node.start()
        for node in self.cluster.nodes:
            wait_until(lambda node=node: node.status() is not None, ENDPOINT_SECONDS,
                       f"node {node.index} answers")
            node.start_backend()
        return f"{NODES} nodes in {len(DATA_CENTRES)} data centres, each with a backend server"

    def validate(self):
        path = self.cluster.folder / "bad.ini"
        path.write_text("[document]\nformat = 1\n[route x]\nservice = none\n")
        refused = self.cluster.command("validate", path, check=False)
        if refused.returncode != 2:
            raise RuntimeError(f"a bad document gave exit status {refused.returncode}")
        first_error = (refused.stdout + refused.stderr).strip().splitlines()[0]
        path.write_text(FIRST_DOCUMENT)
        self.cluster.command("validate", path)
        return "a bad document is refused: " + first_error.split("/")[-1]

    def submit_and_promote(self):
        self.cluster.accept(FIRST_DOCUMENT)
        seconds = self.cluster.wait_for_sequence(1)
        self.cluster.wait_for_endpoints(NODES)
        return f"production has sequence 1; all nodes act on it after {seconds:.1f} s"

    def call(self):
        """The ingress has no backend server of the service, so a peer answers."""
        ingress = self.cluster.nodes[4]
        wait_until(lambda: self.post_booking(ingress, "demo-0")[0] == 200,
                   ENDPOINT_SECONDS, "a booking is answered")
        status, _, body = self.post_booking(ingress, "demo-1")
        again, headers, same = self.post_booking(self.cluster.nodes[0], "demo-1")
        if (status, again, body) != (200, 200, same):
            raise RuntimeError(f"bookings answered {status} and {again}")
        if headers.get("Oleandertide-Replayed") != "true":
            raise RuntimeError("the repeated key was not answered from the first run")
        runs = [run for node in self.cluster.nodes for run in node.runs()]
        count = sum(1 for run in runs if run[0] == "demo-1")
        if count != 1:
            raise RuntimeError(f"the booking ran {count} times")
        return "a booking ran behind another node; its repeat got the first answer"

    def post_booking(self, node, key):
        return request(node.address("callers"), "POST", "/bookings", "slot 12",
                       {"Idempotency-Key": key})

    def job_runs(self):
        return [run for node in self.cluster.nodes for run in node.runs()
                if run[0].startswith("job/birthday-mails/")]

    def job(self):
        wait_until(lambda: len(self.job_runs()) >= 2, ENDPOINT_SECONDS, "two runs of the job")
        runs = [run[0] for run in self.job_runs()]
        if len(runs) != len(set(runs)):
            raise RuntimeError("a due time ran twice")
        return f"the scheduled job ran {len(runs)} times, each due time once"

    def retire(self):
        self.cluster.accept(SECOND_DOCUMENT)
        seconds = self.cluster.wait_for_sequence(2)
        return f"production has sequence 2; all nodes act on it after {seconds:.1f} s"

    def retired_route(self):
        for node in self.cluster.nodes:
            status, _, body = request(
                node.address("callers"), "GET", "/offers/birthday")
            if status < 400 or b'"not-run"' not in body:
                raise RuntimeError(f"node {node.index} answered {status}: {body!r}")
        return "every node refuses the retired route as not run"

    def retired_job(self):
        before = len(self.job_runs())
        time.sleep(QUIET_SECONDS)
        after = len(self.job_runs())
        if after != before:
            raise RuntimeError(f"the job ran {after - before} times after its retirement")
        return f"the retired job has not run for {QUIET_SECONDS} s"


def main():
    binaries = sys.argv[1] if len(sys.argv) > 1 else "build/bin"
    if not pathlib.Path(binaries).is_dir():
        print(f"no built programs in {binaries}; run scripts/build.sh first")
        return 2
    with Cluster(binaries) as cluster:
        demo = Demo(cluster)
        steps = [
            ("start", demo.start_processes),
            ("validate", demo.validate),
            ("promote", demo.submit_and_promote),
            ("call", demo.call),
            ("job", demo.job),
            ("retire", demo.retire),
            ("retired route", demo.retired_route),
            ("retired job", demo.retired_job),
        ]
        for name, step in steps:
            try:
                print(f"{name + ':':15} {step()}", flush=True)
            except (OSError, RuntimeError, TimeoutError) as error:
                print(f"{name}: FAILED: {error}")
                return 1
    print("demo: all steps passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
