"""Steps on faults of the VMs' processes and of the store, against real processes."""

import json
import secrets
import signal
import time

import anyio
from behave import given, then, when
from fleet import HOST, VmSpec, wait_until

from berylbank_standins._internal.load import LoadClient, LoadPlan
from tests.support.callers import get_caller_port, send_get


@when("the store of the platform goes down")
def step_platform_outage(context):
    context.fleet.platform_state(outage=True)


@then("lookups are still answered on every VM after {seconds:d} seconds")
def step_still_answered(context, seconds):
    time.sleep(seconds)
    for name in context.fleet.ports:
        response = send_get(context, "/lookup/oak", context.keys["alder-mill"], name)
        assert response.status_code == 200, (name, response.text)


def change_draining(context, draining, operation_id=None):
    document = {
        "operation_id": operation_id or secrets.token_hex(8),
        "kind": "set-draining",
        "change": {"backend": "lookup-mid", "draining": draining},
    }
    return context.fleet.call_operators_api("north-1a", "POST", "changes?wait_ms=4000", document)


@then("a change is reported as not done")
def step_not_done(context):
    context.operation_id = secrets.token_hex(8)
    assert change_draining(context, True, context.operation_id)["state"] == "not_done"


@when("the store of the platform is available again")
def step_store_again(context):
    context.fleet.platform_state(outage=False)


@then("the same change is in force")
def step_same_change(context):
    assert change_draining(context, True, context.operation_id)["state"] == "in_force"
    assert change_draining(context, False)["state"] == "in_force"


@when("the store of the platform does not confirm the next write")
def step_lose_confirmation(context):
    context.fleet.platform_state(lose_answers=1)


@then("a change is reported as in force")
def step_in_force(context):
    head_before = context.fleet.get_status("north-1a")["head"]
    change = change_draining(context, False)
    assert change["state"] == "in_force", change
    assert change["number"] == head_before + 1


@given('a second key of "{organisation}"')
def step_second_key(context, organisation):
    context.second_key = context.fleet.grant_key(organisation, "extra")


@when('the VM "{name}" is suspended')
def step_suspend(context, name):
    context.fleet.send_signal(name, signal.SIGSTOP)


@when("the operator withdraws the second key")
def step_withdraw_second(context):
    context.started_s = time.monotonic()
    change = {"organisation": "alder-mill", "key_name": "extra"}
    context.withdrawal = context.fleet.submit_change("north-1a", "withdraw-key", change)
    context.took_s = time.monotonic() - context.started_s


@then("the withdrawal is in force within {seconds:d} seconds")
def step_withdrawn(context, seconds):
    assert context.withdrawal["state"] == "in_force", context.withdrawal
    assert context.took_s <= seconds


@when('the VM "{name}" resumes')
def step_resume(context, name):
    context.fleet.send_signal(name, signal.SIGCONT)


@then('the second key is refused on "{name}"')
def step_second_refused(context, name):
    response = send_get(context, "/lookup/oak", context.second_key, name)
    assert response.json()["error"] in ("no_authority", "unknown_key"), response.text


@then('the key of "{organisation}" works again on "{name}"')
def step_works_again(context, organisation, name):
    key = context.keys[organisation]
    wait_until(lambda: send_get(context, "/lookup/oak", key, name).status_code == 200, "the VM")


@when('the VM "{name}" is killed')
def step_kill(context, name):
    context.fleet.send_signal(name, signal.SIGKILL)
    context.fleet.wait_exit(name)


@then('lookups are still answered on "{name}"')
@then('lookups are answered on "{name}" again')
def step_answered_on(context, name):
    key = context.keys["alder-mill"]
    wait_until(lambda: send_get(context, "/lookup/oak", key, name).status_code == 200, "the VM")


@when('the VM "{name}" starts again')
def step_start_again(context, name):
    context.fleet.start_vm(context.fleet.vm_specs[name])


@when("a VM with another fleet key starts")
def step_wrong_fleet_key(context):
    fleet = context.fleet
    key_file = fleet.folder / "fleet.key"
    correct_key = key_file.read_text()
    key_file.write_text(secrets.token_hex(32))
    fleet.start_vm(VmSpec("wrong-key", "north", "north-1"))
    wait_until(lambda: fleet.get_status("wrong-key")["store_answers"], "the VM with another key")
    key_file.write_text(correct_key)


@then("the VM is never seated")
def step_never_seated(context):
    fleet = context.fleet
    time.sleep(2)
    try:
        seats = {seat["vm"] for seat in fleet.get_status("north-1a")["seats"]}
        assert "wrong-key" not in seats, seats
    finally:
        fleet.send_signal("wrong-key", signal.SIGKILL)
        fleet.wait_exit("wrong-key")
        del fleet.ports["wrong-key"]


@when('the VM "{name}" stops gracefully under load')
def step_stop(context, name):
    headers = (("authorization", f"Bearer {context.keys['alder-mill']}"),)
    plan = LoadPlan(HOST, get_caller_port(context, name), "/lookup/oak", headers, 4, 5.0, rate=100)

    async def run():
        client = LoadClient(plan)

        async def stop():
            await anyio.sleep(0.5)
            context.fleet.send_signal(name, signal.SIGTERM)
            await anyio.sleep(0.4)
            client.stopping = True

        async with anyio.create_task_group() as group:
            group.start_soon(stop)
            return await client.run()

    context.result = anyio.run(run)
    assert context.fleet.wait_exit(name) == 0


@then("no request was interrupted or refused")
def step_none_interrupted(context):
    assert (context.result.cut, context.result.failed) == (0, 0), context.result
    assert context.result.requests > 20


@then('the look-up no longer names "{name}"')
def step_not_named(context, name):
    url = f"http://{HOST}:{get_caller_port(context)}/.well-known/berylbank/lookup"
    listed_vms = json.loads(context.fleet.http.get(url).text)["entry_vms"]
    stopped_address = f"{HOST}:{context.fleet.ports[name].callers}"
    assert stopped_address not in [vm["address"] for vm in listed_vms]
