"""One answer without end takes the process over its memory limit, and all its requests are cut."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import Record, has_trouble, run_case  # noqa: E402
from standins.deployment import (  # noqa: E402
    Deployment,
    Node,
    Ports,
    client_headers,
    find_free_ports,
    make_configuration,
)
from standins.http import Message, encode_request, read_message  # noqa: E402
from standins.instance import Answer, Instance, Run  # noqa: E402
from standins.store import Store  # noqa: E402

SERVICE = "hold-ledger"
HOST = "127.0.6.1"
INSTANCES = 7
CLIENTS = 24
PLAY_S = 20.0
# One instance of seven spoils one of its answers in 50, for 5.5 s.
GARBLE_FROM_S, GARBLE_FOR_S = 4.0, 5.5
ANSWERS_PER_SPOILED = 50
WORK_S = 0.4
DEADLINE_MS = 8_000
MEMORY_MB = 300
MEMORY_CHECK_S = 0.05
RESTART_DELAY_S = 0.5
MOST_CUT = 3


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.runs: list[Run] = []
        self.spoiled: set[str] = set()
        self.cut: set[str] = set()
        self.sent = 0
        self.started_s = 0.0
        self.answers = itertools.count(1)

    async def behave(self, instance: Instance, message: Message) -> Answer:
        """Serve a request; the faulty instance spoils some of its answers."""
        instance.record_run(message)
        await asyncio.sleep(WORK_S)
        elapsed_s = time.monotonic() - self.started_s - GARBLE_FROM_S
        if not has_trouble() or instance.name != "i-0" or not 0 <= elapsed_s < GARBLE_FOR_S:
            return Answer()
        if (next(self.answers) - 1) % ANSWERS_PER_SPOILED:
            return Answer()
        request_id = message.headers["x-request-id"]
        self.spoiled.add(request_id)
        self.record.write(f"{request_id} gets an answer without end from {instance.name}")
        return Answer(endless=True)

    async def play(self) -> bool:
        """Send bookings on kept connections, and act as the platform that limits memory."""
        store = Store()
        await store.start("127.0.0.1")
        routes = [["holds", "/holds/", "unsafe", SERVICE, DEADLINE_MS / 1000, 2]]
        store.put(
            "op", "config", make_configuration(routes, [SERVICE], rate_per_s=5000, burst=5000)
        )
        for number in range(INSTANCES):
            instance = Instance(
                store, self.runs, self.behave, name=f"i-{number}", service=SERVICE, zone="mid-one"
            )
            await instance.start("127.0.0.1")
        deployment = Deployment(store.address, {"mid-one": "mid-sweden"})
        try:
            node = Node("edge-1", HOST, "mid-one", Ports(*find_free_ports(4, [HOST])))
            deployment.start_node(node, bootstrap=True)
            await deployment.wait_ready(node)
            self.started_s = time.monotonic()
            tasks = [asyncio.create_task(self.limit_memory(deployment, node))]
            tasks += [asyncio.create_task(self.send_bookings(node, n)) for n in range(CLIENTS)]
            await asyncio.sleep(PLAY_S)
            for task in tasks:
                task.cancel()
        finally:
            deployment.close()
        return self.check()

    async def limit_memory(self, deployment: Deployment, node: Node) -> None:
        """Kill a process that exceeds ``memoryMb``, and start it again, as the platform does."""
        most_mb = 0.0
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            used_mb = node.read_memory_mb()
            if used_mb > most_mb + 20:
                most_mb = used_mb
                self.record.write(f"{node.name} uses {used_mb:.0f} MB")
            if used_mb > MEMORY_MB:
                self.record.write(f"{node.name} killed: {used_mb:.0f} MB, allowed {MEMORY_MB} MB")
                node.kill()
                await asyncio.sleep(RESTART_DELAY_S)
                deployment.start_node(node, bootstrap=False)
                most_mb = 0.0

    async def send_bookings(self, node: Node, client: int) -> None:
        """Send bookings one after the other on a kept connection; open another when it ends."""
        for connection in itertools.count():
            try:
                reader, writer = await asyncio.open_connection(node.ip, node.ports.http)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            for number in itertools.count():
                request_id = f"hold-{client:02}-{connection:02}-{number:03}"
                self.sent += 1
                self.record.write(f"{request_id} sent")
                headers = client_headers(request_id, DEADLINE_MS)
                status = "cut, no answer"
                try:
                    writer.write(encode_request("POST", "/holds/x", headers, b"hold"))
                    answer = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000)
                    status = answer.start[1] if answer is not None else status
                except ConnectionError:
                    answer = None
                except TimeoutError:
                    answer, status = None, "deadline"
                self.record.write(f"{request_id} answered: {status}")
                if answer is None:
                    if status.startswith("cut") and number:
                        self.cut.add(request_id)
                    break
                if answer.headers.get("connection") == "close":
                    break
            writer.close()

    def check(self) -> bool:
        """Return whether at most three requests of kept connections at sound instances were cut."""
        run_by = {run.request_id: run.instance for run in self.runs}
        for run in self.runs:
            self.record.write(f"{run.request_id} run by {run.instance}", run.at_s)
        lost = [item for item in self.cut if item not in self.spoiled and item in run_by]
        sound = [item for item in lost if run_by[item] != "i-0"]
        self.record.write(
            f"{self.sent} requests, {len(self.spoiled)} answers without end; cut without an answer"
            f" on kept connections after they were passed on to sound instances: {len(sound)},"
            f" allowed are {MOST_CUT}"
        )
        return len(sound) <= MOST_CUT


async def play(record: Record) -> bool:
    """Play the case."""
    return await Play(record).play()


if __name__ == "__main__":
    run_case(FOLDER, play)
