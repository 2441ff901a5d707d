"""Steps on releases in a fleet of real processes."""

from concurrent.futures import ThreadPoolExecutor

import anyio
from behave import given, then, when
from fleet import HOST

from berylbank_standins._internal.load import LoadClient, LoadPlan
from tests.support.callers import get_caller_port, send_get


@when("{count:d} images are requested")
def step_request_images(context, count):
    answers = [send_get(context, "/images/oak", context.keys["alder-mill"]) for _ in range(count)]
    assert all(answer.status_code == 200 for answer in answers), answers[0].text
    context.answering_servers = {answer.json()["backend"] for answer in answers}


@then('all were answered by the server "{server}"')
def step_answered_by(context, server):
    assert context.answering_servers == {server}, context.answering_servers


@given('the server "{name}" fails')
def step_server_fails(context, name):
    context.fleet.backend_state(name, fail_paths=["/images/"])


@given('the server "{name}" works')
def step_server_works(context, name):
    context.fleet.backend_state(name, fail_paths=[])


@when('a release of images from "{old}" to "{new}" runs under load')
def step_release_under_load(context, old, new):
    requests_before = {
        version: context.fleet.backend_state(f"images-{version}")["requests"]
        for version in (old, new)
    }
    arguments = ("release", "images", "--from", old, "--to", new, "--within", "60")
    arguments += ("--step-time", "1", "--watch")
    with ThreadPoolExecutor(1) as pool:
        command = pool.submit(context.fleet.berylctl, *arguments, check=False)
        anyio.run(request_images, context, command)
    context.finished_command = command.result()
    requests_after = {
        version: context.fleet.backend_state(f"images-{version}")["requests"]
        for version in (old, new)
    }
    context.requests_by_server = {
        f"images-{version}": requests_after[version] - requests_before[version]
        for version in (old, new)
    }


async def request_images(context, command):
    """Send requests for images to every VM until the operator's command has ended."""
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    async with anyio.create_task_group() as group:
        clients = []
        for name in context.fleet.ports:
            plan = LoadPlan(
                HOST, get_caller_port(context, name), "/images/oak", headers, 3, 60.0, rate=250
            )
            clients.append(LoadClient(plan))
            group.start_soon(clients[-1].run)
        while not command.done():
            await anyio.sleep(0.1)
        for client in clients:
            client.stopping = True


@then('the operator\'s command reports "{state}" and exits with code {code:d}')
def step_command_reports(context, state, code):
    assert context.finished_command.returncode == code, (
        context.finished_command.stdout + context.finished_command.stderr
    )
    assert state in context.finished_command.stdout.splitlines()[-1]


@then('the server "{name}" got at most {percent:d} percent of the traffic')
def step_server_traffic_percent(context, name, percent):
    assert context.requests_by_server[name] * 100 <= percent * sum(
        context.requests_by_server.values()
    ), context.requests_by_server
