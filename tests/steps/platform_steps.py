"""Steps for the platform adapter."""

import os
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from berylbank._internal.exceptions import InvalidDocumentError
from berylbankd._internal.commands.steer import EXIT_BAD_SETTINGS
from berylbankd._internal.platform.names import SETTINGS_PATH_VARIABLE
from berylbankd._internal.platform.settings import load_deployment

# Runs the daemon as ``python -m`` does, and prints the disposition of SIGHUP at each import.
READ_DISPOSITIONS = """
import runpy, signal, sys

class DispositionReader:
    @staticmethod
    def find_spec(name, path=None, target=None):
        handler = signal.getsignal(signal.SIGHUP)
        print("import", name, getattr(handler, "name", "a handler"), file=sys.stderr)

sys.meta_path.insert(0, DispositionReader)
sys.argv[0:1] = []
runpy.run_module("berylbankd", run_name="__main__", alter_sys=True)
"""
PACKAGES = Path(__file__).parents[2] / "packages"
DAEMON = PACKAGES / "berylbankd/src/berylbankd/_internal"
# Names that only the platform uses; common words that berylbank uses too are left out.
PLATFORM_NAMES = (
    "Server-Leaving|Server-Limit|X-Expected-Instance|X-Affinity-Key|X-Server-Signature|X-Server-Load|X-Not-Executed|"
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


@when("the sources outside the platform package are searched")
def step_search_sources(context):
    headers = [
        name.lower() for name in PLATFORM_NAMES.split("|") if name.startswith(("X-", "Server-"))
    ]
    pattern = re.compile("|".join([PLATFORM_NAMES, *headers]))
    sources = [
        path
        for package in ("berylbank", "berylbankd", "berylctl")
        for path in (PACKAGES / package / "src").rglob("*.py")
        if "platform" not in path.parts
    ]
    assert len(sources) > 50
    context.matches = [
        f"{path.name}: {match.group(0)}"
        for path in sources
        for match in pattern.finditer(path.read_text())
    ]


@then("they contain none of the platform's own names")
def step_no_platform_names(context):
    assert context.matches == [], context.matches


@when("the imports of the daemon are searched")
def step_search_imports(context):
    context.importing_files = {
        path.name
        for path in DAEMON.rglob("*.py")
        if "platform" not in path.parts and "berylbankd._internal.platform" in path.read_text()
    }


@then("only the application imports the platform package")
def step_only_application(context):
    assert context.importing_files == {"steering_application.py"}


def write_settings(context, text):
    directory = tempfile.mkdtemp()
    context.settings_path = Path(directory) / "node.toml"
    context.settings_path.write_text(text)


@given("the platform's settings with an unknown field")
def step_settings_with_unknown_field(context):
    write_settings(context, SETTINGS)


@then("the deployment has its addresses, bounds and failure domains")
def step_deployment(context):
    deployment = load_deployment(context.settings_path)
    assert (deployment.vm, deployment.caller_address, deployment.peer_port) == (
        "vm-1",
        "10.0.0.1:8000",
        7000,
    )
    assert deployment.bounds.drain_ms == 2_500 and deployment.bounds.quota_slack == 20
    assert deployment.regions == {"a": "one"} and deployment.seed_hosts == ("10.0.0.2",)


@given("the platform's settings without {field}")
def step_settings_without(context, field):
    lines = SETTINGS.split("\n")
    if f"[{field}]" in lines:
        start = lines.index(f"[{field}]")
        end = next((n for n in range(start + 1, len(lines)) if lines[n][:1] == "["), len(lines))
        del lines[start:end]
    write_settings(context, "\n".join(line for line in lines if not line.startswith(field)))


@then("they are rejected with the file name and a hint")
def step_settings_rejected(context):
    try:
        load_deployment(context.settings_path)
    except InvalidDocumentError as error:
        assert str(context.settings_path) in str(error) and error.hint
        return
    raise AssertionError("the settings without the field were accepted")


@when("the daemon is started with the platform's command, but without a settings file")
def step_start_without_settings(context):
    context.missing_path = "/nonexistent/node.toml"
    context.completed = subprocess.run(
        [sys.executable, "-X", "importtime", "-m", "berylbankd", "steer"],
        env={**os.environ, "BERYLBANK_NODE_FILE": context.missing_path},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@then("it exits with code 2, prints the file name and a hint, and has not imported cyclopts")
def step_start_error(context):
    assert context.completed.returncode == 2, context.completed.returncode
    assert context.missing_path in context.completed.stderr
    assert "hint: name a readable TOML file" in context.completed.stderr
    assert "cyclopts" not in context.completed.stderr


@when("the daemon is started as {command}, and its disposition of SIGHUP is read at each import")
def step_start_and_read_disposition(context, command):
    environment = {**os.environ, SETTINGS_PATH_VARIABLE: "absent.toml"}
    result = subprocess.run(
        [sys.executable, "-c", READ_DISPOSITIONS, *command.split()],
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
        check=False,
    )
    assert result.returncode == EXIT_BAD_SETTINGS, result
    lines = [line.split() for line in result.stderr.splitlines() if line.startswith("import ")]
    context.dispositions = [(module, disposition) for _, module, disposition in lines]


@then("SIGHUP is ignored at the import of {package} and at each one after it")
def step_ignored(context, package):
    modules = [module for module, _ in context.dispositions]
    first = modules.index(package)
    assert len(modules) > first + 1, modules
    late = [item for item in context.dispositions[first:] if item[1] != "SIG_IGN"]
    assert not late, late[:5]
