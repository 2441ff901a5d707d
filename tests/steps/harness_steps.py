"""Steps on the test harness itself."""

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when

TOOLS = Path(__file__).parents[2] / "tools"
TAKE = """
import os, json, sys
os.getpid = lambda: 40
sys.path.insert(0, {tools!r})
import fleet
print(json.dumps([fleet.free_port() for _ in range({count})]), flush=True)
sys.stdin.readline()
"""


@when("{processes:d} processes whose ids look alike take {count:d} ports each at once")
def step_take(context, processes, count):
    code = TAKE.format(tools=str(TOOLS), count=count)
    started = [
        subprocess.Popen(
            [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(processes)
    ]
    context.given_ports = [json.loads(process.stdout.readline()) for process in started]
    for process in started:
        process.communicate("done\n")


@then("no port was given twice")
def step_distinct(context):
    ports = [port for given in context.given_ports for port in given]
    assert len(ports) == len(set(ports))
