"""Steps on the reservation of ports by concurrent test processes."""

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when

TOOLS = Path(__file__).parents[2] / "tools"
# All processes see the same process id, so a reservation that relies on the id fails this test.
PORT_SCRIPT = """
import os, json, sys
os.getpid = lambda: 40
sys.path.insert(0, {tools!r})
import fleet
print(json.dumps([fleet.free_port() for _ in range({count})]), flush=True)
sys.stdin.readline()
"""


@when("{processes:d} processes with the same process id reserve {count:d} ports each at once")
def step_reserve_ports(context, processes, count):
    code = PORT_SCRIPT.format(tools=str(TOOLS), count=count)
    running = [
        subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(processes)
    ]
    context.reserved_ports = [json.loads(process.stdout.readline()) for process in running]
    for process in running:
        process.communicate("done\n")


@then("no port is reserved twice")
def step_ports_distinct(context):
    ports = [port for reserved in context.reserved_ports for port in reserved]
    assert len(ports) == len(set(ports))
