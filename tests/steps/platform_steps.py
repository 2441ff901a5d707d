"""Steps on the platform adapter."""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from berylbank._internal.exceptions import InvalidDocumentError
from berylbankd._internal.platform.settings import load_deployment

ROOT = Path(__file__).parents[2] / "packages"
DAEMON = ROOT / "berylbankd/src/berylbankd/_internal"
# Names that only the platform uses; plain English words that it shares with us are left out.
NAMES = (
    "X-Expected-Instance|X-Affinity-Key|X-Server-Signature|X-Server-Load|X-Not-Executed|"
    "X-Instance-Id|X-Warmup-Ms|X-Deadline-Ms|X-Tenant|weightedServices|targetLatencyS|timeoutS|"
    "maxAttempts|allowedRegions|apiKeys|ratePerS|healthPath|warmupS|warmupPerS|warmupLeftS|"
    "idleTimeoutS|ephemeralPorts|nodeName|expectedRev|rows-tx|rows-get|rows-feed|tombstone|"
    "hasMore|waitMs|configApplyS|quotaOverage|durationS|/v1/resolve|/v1/ready|rollout/|evacuate/"
)
SETTINGS = """
nodeName = "vm-1"
ip = "10.0.0.1"
zone = "a"
region = "one"
ephemeralPorts = [7000, 7015]
seeds = ["10.0.0.2:80"]
bounds = ["drainS=2.5", "quotaSlack=20", "newBound=7"]
unheardOf = 1
[zones]
a = "one"
[listen]
http = "10.0.0.1:8000"
readiness = "10.0.0.1:8001"
directory = "10.0.0.1:8002"
[platform]
address = "10.0.0.9:8382"
"""


@when("the sources outside the platform folder are searched")
def step_search(context):
    headers = [name.lower() for name in NAMES.split("|") if name.startswith("X-")]
    pattern = re.compile("|".join([NAMES, *headers]))
    sources = [
        path
        for package in ("berylbank", "berylbankd", "berylctl")
        for path in (ROOT / package / "src").rglob("*.py")
        if "platform" not in path.parts
    ]
    assert len(sources) > 50
    context.found = [
        f"{path.name}: {match.group(0)}"
        for path in sources
        for match in pattern.finditer(path.read_text())
    ]


@then("none of the platform's own names is found")
def step_none(context):
    assert context.found == [], context.found


@when("the imports of the daemon are searched")
def step_imports(context):
    context.importers = {
        path.name
        for path in DAEMON.rglob("*.py")
        if "platform" not in path.parts and "berylbankd._internal.platform" in path.read_text()
    }


@then("only the application imports the platform folder")
def step_only_application(context):
    assert context.importers == {"steering_application.py"}


def write_settings(context, text):
    folder = tempfile.mkdtemp()
    context.path = Path(folder) / "node.toml"
    context.path.write_text(text)


@given("the platform's settings with a field that nobody knows")
def step_settings(context):
    write_settings(context, SETTINGS)


@then("the deployment has its addresses, bounds and failure domains")
def step_deployment(context):
    found = load_deployment(context.path)
    assert (found.vm, found.callers, found.peer_port) == ("vm-1", "10.0.0.1:8000", 7000)
    assert found.bounds.drain_ms == 2_500 and found.bounds.quota_slack == 20
    assert found.regions == {"a": "one"} and found.seed_hosts == ("10.0.0.2",)


@given("the platform's settings without {field}")
def step_settings_without(context, field):
    lines = SETTINGS.split("\n")
    if f"[{field}]" in lines:
        start = lines.index(f"[{field}]")
        end = next((n for n in range(start + 1, len(lines)) if lines[n][:1] == "["), len(lines))
        del lines[start:end]
    write_settings(context, "\n".join(line for line in lines if not line.startswith(field)))


@then("they are refused with a remedy")
def step_refused(context):
    try:
        load_deployment(context.path)
    except InvalidDocumentError as error:
        assert str(context.path) in str(error) and error.hint
        return
    raise AssertionError("the settings were taken")


@when("the daemon is started as the platform does, without its settings file")
def step_start_without_settings(context):
    context.missing = "/nonexistent/node.toml"
    context.done = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "berylbankd", "steer"],
        env={**os.environ, "BERYLBANK_NODE_FILE": context.missing},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then("it ends with code 2, names the file and the remedy, and has imported no argument parser")
def step_named_remedy(context):
    assert context.done.returncode == 2, context.done.returncode
    assert context.missing in context.done.stderr
    assert "hint: name a readable TOML file" in context.done.stderr
    assert "cyclopts" not in context.done.stderr
