"""Steps on backend servers that name a limit for all VMs together."""

from behave import given, then, when

from berylbankd._internal.models.types import ServerNotices
from berylbankd._internal.platform.headers import PlatformHeaderCodec
from berylbankd._internal.steering.servers import ServerState
from berylbankd._internal.steering.steering import Steering
from tests.steps.ingress_steps import install_keys
from tests.steps.server_notice_steps import make_pick_request
from tests.support.digest_fleet import SimulatedVm
from tests.support.limit_fleet import SERVER_ID, LimitFleet
from tests.support.steering import ROW_CODEC, make_deployment, server_row

SETTLE_S = 4
LIMITED_S = 16
CONTACT_MS = 4_000


@given("{vms:d} VMs in {domains:d} failure domains that want to send more than a server takes")
def step_fleet(context, vms, domains):
    context.limit_fleet = LimitFleet(vms, domains)
    context.domains = domains
    context.limit_fleet.run(SETTLE_S)


def find_sender(fleet):
    """Return a VM that has sent requests since the limit was named."""
    recent = [name for at_ms, name in fleet.arrivals if at_ms > fleet.now_ms - 2_000]
    return fleet.by_name[max(set(recent), key=recent.count)]


def join(fleet, count, domains):
    first = len(fleet.vms)
    added = [SimulatedVm(number, domains, 1) for number in range(first, first + count)]
    for vm in added:
        fleet.vms.append(vm)
        fleet.by_host[vm.host] = vm
        fleet.reset_server(vm)
    fleet.start(added)
    fleet.run(LIMITED_S - 6)


def restart_in_turn(fleet):
    for number in range(6):
        fleet.restart_vm(fleet.vms[number * len(fleet.vms) // 6])
        fleet.run(1.5)


def silence(fleet):
    silent = find_sender(fleet)
    fleet.blocked = lambda sender, receiver: sender is silent
    fleet.run(LIMITED_S - 6)


def kill(fleet):
    killed = find_sender(fleet)
    killed.running = False
    fleet.run(LIMITED_S - 6)


def stand_still(fleet):
    frozen = find_sender(fleet)
    fleet.frozen.add(frozen.name)
    frozen.next_tick_ms = fleet.now_ms + 6_000
    fleet.excused.add(frozen.name)
    fleet.run(6)
    fleet.frozen.clear()
    fleet.run(4)


def halve(fleet):
    # The lower limit is counted from the time of contact on, like a new one.
    fleet.rate_per_s /= 2
    fleet.named_ms = fleet.now_ms
    fleet.run(LIMITED_S - 6)


EVENTS = {
    "nothing else happens": lambda fleet, domains: fleet.run(LIMITED_S - 6),
    "6 more VMs join": lambda fleet, domains: join(fleet, 6, domains),
    "30 more VMs join": lambda fleet, domains: join(fleet, 30, domains),
    "VMs restart one after the other": lambda fleet, domains: restart_in_turn(fleet),
    "a VM that sends is no longer heard": lambda fleet, domains: silence(fleet),
    "a VM that sends is killed": lambda fleet, domains: kill(fleet),
    "a VM that sends stands still for 6 s": lambda fleet, domains: stand_still(fleet),
    "the limit falls to a half": lambda fleet, domains: halve(fleet),
}


@when("the server names a limit of {limit:g} requests a second, and {event}")
def step_name_limit(context, limit, event):
    fleet = context.limit_fleet
    fleet.name_limit(limit)
    fleet.run(6)
    EVENTS[event](fleet, context.domains)
    context.end_start_ms = fleet.now_ms
    fleet.run(5)


@then("in no 4 s it gets more than one and a half times the limit and 5 requests")
def step_bound(context):
    fleet = context.limit_fleet
    most = fleet.most_in_window(CONTACT_MS)
    assert most <= fleet.allowed_in_window(), (most, fleet.allowed_in_window())


@then("in the last 5 s it gets at least {percent:d}% of the limit")
def step_used(context, percent):
    fleet = context.limit_fleet
    rate = fleet.rate_since(context.end_start_ms)
    assert rate >= percent / 100 * fleet.rate_per_s, (rate, fleet.rate_per_s)


@when("the server names no limit any more")
def step_take_back(context):
    context.limit_fleet.rate_per_s = None


@then("within {seconds:d} s all VMs send to it without a limit")
def step_unlimited(context, seconds):
    fleet = context.limit_fleet
    took = fleet.run_until(lambda: all(vm.state.limit is None for vm in fleet.running()), seconds)
    assert took is not None, [vm.name for vm in fleet.running() if vm.state.limit is not None]


@when("a VM that does not send is restarted")
def step_restart_other(context):
    fleet = context.limit_fleet
    senders = {name for at_ms, name in fleet.arrivals if at_ms > fleet.now_ms - 4_000}
    context.restarted = next(vm for vm in fleet.vms[1:] if vm.name not in senders)
    fleet.restart_vm(context.restarted)


@then("it knows the limit within {seconds:d} s")
def step_learns(context, seconds):
    fleet = context.limit_fleet
    took = fleet.run_until(lambda: context.restarted.state.limit is not None, seconds)
    assert took is not None


@then('the header "{header}" names the limit {limit}')
def step_header(context, header, limit):
    metadata = PlatformHeaderCodec().decode_response(200, [(b"server-limit", header.encode())])
    expected = None if limit == "none" else float(limit)
    assert metadata.notices.limit_per_s == expected, metadata.notices


@given("a server whose limit of {rate:g} was seen at {ms:d} ms")
def step_seen_limit(context, rate, ms):
    context.state = ServerState(ROW_CODEC.decode_server(server_row(SERVER_ID, 1)), 0)
    context.state.record_limit(rate, ms - 300, ms)


@when("a response without a limit arrives at {ms:d} ms to a request sent at {sent_ms:d} ms")
def step_without_limit(context, ms, sent_ms):
    context.state.record_limit(None, sent_ms, ms)


@then("the server has a limit")
def step_has_limit(context):
    assert context.state.limit is not None


@then("the server has no limit")
def step_has_no_limit(context):
    assert context.state.limit is None


@given("2 servers, the first of which allows {rate:g} request a second")
def step_limited_server(context, rate):
    context.steering = Steering(make_deployment("vm-0", "a"), ROW_CODEC, 1, 0)
    for number in range(2):
        row = server_row(f"s{number}", number + 1, address=f"10.0.0.{number + 1}:80")
        context.steering.routing_state.apply_row(row, 0)
    install_keys(context.steering, "alder")
    context.steering.tick(250, 0)
    state = context.steering.routing_state.servers["s0"]
    context.steering.record_notices(state, ServerNotices(limit_per_s=rate), 0, 0)


@when("{count:d} requests arrive within a second")
def step_requests(context, count):
    context.picked = {"s0": 0, "s1": 0}
    for number in range(count):
        pick = context.steering.pick(make_pick_request(number), number * 1000 // count)
        if pick is not None:
            context.steering.record_dispatch(pick)
            context.picked[pick.server.registration.id] += 1


@then(
    "the first server gets at most {count:d} of them and the second one the others that find a slot"
)
def step_split(context, count):
    assert context.picked["s0"] <= count, context.picked
    assert context.picked["s1"] >= 4, context.picked
