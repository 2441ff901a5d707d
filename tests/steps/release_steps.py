"""Steps on releases through real processes."""

from concurrent.futures import ThreadPoolExecutor

import anyio
from behave import given, then, when
from fleet import HOST

from berylbank_standins._internal.load import LoadClient, LoadPlan
from tests.support.callers import get, port


@when("{count:d} images are asked for")
def step_images(context, count):
    answers = [get(context, "/images/oak", context.keys["alder-mill"]) for _ in range(count)]
    assert all(answer.status_code == 200 for answer in answers), answers[0].text
    context.servers = {answer.json()["backend"] for answer in answers}


@then('all were answered by "{server}"')
def step_answered_by(context, server):
    assert context.servers == {server}, context.servers


@given('the server "{name}" fails')
def step_server_fails(context, name):
    context.fleet.backend_state(name, fail_paths=["/images/"])


@given('the server "{name}" works')
def step_server_works(context, name):
    context.fleet.backend_state(name, fail_paths=[])


@when('a release of images from "{old}" to "{new}" runs under traffic')
def step_release(context, old, new):
    before = {v: context.fleet.backend_state(f"images-{v}")["requests"] for v in (old, new)}
    words = ("release", "images", "--from", old, "--to", new, "--within", "60")
    words += ("--step-time", "1", "--watch")
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(context.fleet.berylctl, *words, check=False)
        anyio.run(send_images, context, running)
    context.done = running.result()
    after = {v: context.fleet.backend_state(f"images-{v}")["requests"] for v in (old, new)}
    context.got = {f"images-{v}": after[v] - before[v] for v in (old, new)}


async def send_images(context, running):
    """Send images to every VM until the operator's command has ended."""
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    async with anyio.create_task_group() as group:
        clients = []
        for name in context.fleet.ports:
            plan = LoadPlan(HOST, port(context, name), "/images/oak", headers, 3, 60.0, rate=250)
            clients.append(LoadClient(plan))
            group.start_soon(clients[-1].run)
        while not running.done():
            await anyio.sleep(0.1)
        for client in clients:
            client.stopping = True


@then('the operator is told "{state}" with exit code {code:d}')
def step_operator_told(context, state, code):
    assert context.done.returncode == code, context.done.stdout + context.done.stderr
    assert state in context.done.stdout.splitlines()[-1]


@then('the server "{name}" got at most {percent:d} percent of the traffic')
def step_got(context, name, percent):
    assert context.got[name] * 100 <= percent * sum(context.got.values()), context.got
