"""Steps on nodes, the virtual clock and the fault matrix."""

from behave import given, then, when

from berylbank._internal.models.changes import ForgetVm, GrantKey, ReplaceConfiguration
from berylbank._internal.models.configuration import ApiKey, Configuration
from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS, Head, Seat
from berylbank._internal.settings import TimingSettings
from berylbank._internal.wire.messages import ConfirmReply, ConfirmRequest
from berylbankd._internal.authority.authority import Authority
from berylbankd._internal.authority.timing import derive_timing
from berylbankd._internal.changes.head_writer import Written
from berylbankd._internal.loans.ledger import Borrower
from tests.support.campaign import (
    BURST,
    RATE,
    example_configuration,
    run_campaign,
    settled_model,
)
from tests.support.histories import HISTORIES
from tests.support.matrix import strike_at_every_moment
from tests.support.mutations import mutated

RECOVERY_LIMIT_MS = 40_000
NUMBER = 5
STEADY_AFTER_MS = 5_000


def attempt(context, action):
    context.broken = None
    try:
        action()
    except AssertionError as error:
        context.broken = str(error) or "assertion"


@when('"{step}" meets "{fault}" at every moment')
def step_matrix(context, step, fault):
    attempt(context, lambda: strike_at_every_moment(step, (fault,)))


@when('"{step}" meets both "{fault}" and "{other}" at every moment')
def step_matrix_pair(context, step, fault, other):
    attempt(context, lambda: strike_at_every_moment(step, (fault, other)))


@when('the history "{history}" runs')
def step_history(context, history):
    attempt(context, HISTORIES[history])


@when('the history "{history}" goes on although {mutation}')
def step_history_mutated(context, history, mutation):
    with mutated(mutation):
        attempt(context, HISTORIES[history])


@when("{examples:d} random schedules of {steps:d} steps run")
def step_campaign(context, examples, steps):
    attempt(context, lambda: run_campaign(examples, steps))


@when("{examples:d} random schedules of {steps:d} steps go on although {mutation}")
def step_campaign_mutated(context, examples, steps, mutation):
    with mutated(mutation):
        attempt(context, lambda: run_campaign(examples, steps, shrink=False))


@then("every promise held")
def step_held(context):
    assert context.broken is None, context.broken


@then("a promise broke")
def step_broke(context):
    assert context.broken is not None, "the mutation was not noticed"


def make_authority():
    timing = derive_timing(TimingSettings())
    return Authority("vm-1", timing, 0, iter(range(1, 1000)))


def make_head(number):
    address = "127.0.0.1:1"
    seats = tuple(Seat(f"vm-{i}", address, address, address, "north", "n-1") for i in (1, 2, 3))
    return Head(number, "", seats)


@given("a VM that began to read the head at {at_ms:d} ms")
def step_reading(context, at_ms):
    context.authority = make_authority()
    context.started_ms = at_ms


@when("the answer comes at {at_ms:d} ms")
def step_answer(context, at_ms):
    context.authority.on_read(context.started_ms, make_head(NUMBER), Configuration(), at_ms)
    context.now_ms = at_ms


@then("the VM may act at {at_ms:d} ms")
def step_may_act(context, at_ms):
    assert context.authority.may_act(at_ms)


@then("the VM may not act at {at_ms:d} ms")
def step_may_not_act(context, at_ms):
    assert not context.authority.may_act(at_ms)


@when("the VM hears of the next head")
def step_hears(context):
    context.authority.hear_of(NUMBER + 1)


@given("a VM that has just started")
def step_started(context):
    context.authority = make_authority()


@when("another VM asks it about head {number:d}")
def step_asked(context, number):
    context.reply = context.authority.on_confirm_request(ConfirmRequest(1, number))


@then("it does not confirm")
def step_not_confirmed(context):
    assert not context.reply.confirmed


@when("the store stops answering and two rounds begin")
def step_two_rounds(context):
    authority = context.authority
    context.lease = authority.lease_until_ms
    first = authority.on_read_failed(context.now_ms + 500)[0]
    authority.on_read_failed(context.now_ms + 600)
    context.round_id = first.message.round_id


@when("two VMs answer the first round only")
def step_first_round(context):
    for sender in ("vm-2", "vm-3"):
        reply = ConfirmReply(context.round_id, NUMBER, True)
        context.authority.on_confirm_reply(sender, reply, context.now_ms + 700)


@then("the lease is as it was")
def step_same_lease(context):
    assert context.authority.lease_until_ms == context.lease


@given("a settled fleet of {count:d} VMs")
def step_fleet(context, count):
    context.model = settled_model(21, count)
    context.model.run(1_000)


@when("the VM that held the first seat dies")
def step_founder_dies(context):
    first = context.model.store.rows["head"]
    assert first.version > 1
    context.model.kill("vm-1")


@then("the fleet is whole again without it")
@then("the fleet is whole again")
def step_whole(context):
    model = context.model
    assert model.run_until(model.is_settled, RECOVERY_LIMIT_MS)


@when("the store goes down")
def step_store_down(context):
    context.model.store.down = True
    context.model.run(3_000)


@when("the store comes back")
def step_store_back(context):
    context.model.store.down = False


@when("one VM restarts")
def step_one_restarts(context):
    context.model.restart("vm-3")
    context.restarted_ms = context.model.now_ms


@when("three VMs restart")
def step_three_restart(context):
    for name in ("vm-1", "vm-2", "vm-3"):
        context.model.restart(name)


@when("a change reaches one other VM, its writer dies and the store goes down")
def step_writer_dies(context):
    model = context.model
    model.cuts |= {("vm-1", name) for name in ("vm-3", "vm-4", "vm-5")}
    outcome = model.change("vm-1", GrantKey("alder", ApiKey("new", "ab" * 32)))
    assert isinstance(outcome, Written)
    context.number = outcome.number
    model.store.down = True
    assert model.run_until(
        lambda: model.vms["vm-2"].node.authority.head.number == outcome.number, 1_000
    )
    model.kill("vm-1")


@then("all VMs that live act on the change within {limit_ms:d} ms")
def step_all_act(context, limit_ms):
    model = context.model

    def all_act():
        acting = model.acting()
        return len(acting) == 4 and all(
            vm.node.authority.head.number == context.number for vm in acting
        )

    model.run(2_500)
    assert model.run_until(all_act, limit_ms)


@when("three VMs die for good")
def step_three_die(context):
    context.dead = ("vm-3", "vm-4", "vm-5")
    for name in context.dead:
        context.model.kill(name)


@then("the others cannot give up their seats by themselves")
def step_stuck(context):
    context.model.run(15_000)
    assert len(context.model.vms["vm-1"].node.authority.head.seats) == 5


@when("an operator declares them ended")
def step_declare(context):
    for name in context.dead:
        outcome = context.model.change("vm-1", ForgetVm(name))
        assert isinstance(outcome, Written)


@when("every VM restarts")
def step_all_restart(context):
    context.reads = context.model.store.reads
    context.restarted_ms = context.model.now_ms
    for name in list(context.model.vms):
        context.model.restart(name)


@then("the store was read less than {limit:d} times a second")
def step_reads(context, limit):
    elapsed_s = (context.model.now_ms - context.restarted_ms) / 1000
    assert (context.model.store.reads - context.reads) / max(1.0, elapsed_s) < limit


@then("it serves again within {limit_ms:d} ms")
def step_serves_again(context, limit_ms):
    model = context.model
    context.shares = []

    def serves():
        rates = model.vms["vm-3"].node.rates
        shares = [bucket.own_share for bucket in rates.buckets.values()]
        context.shares.append((model.now_ms - context.restarted_ms, max(shares, default=0)))
        return model.vms["vm-3"].may_act()

    assert model.run_until(serves, limit_ms)


@then("it minted nothing before {limit_ms:d} ms")
def step_minted_nothing(context, limit_ms):
    assert all(share == 0 for at_ms, share in context.shares if at_ms < limit_ms)


@then("no VM acts after {after_ms:d} ms")
def step_none_acts(context, after_ms):
    context.model.run(after_ms)
    assert not context.model.acting()


@when('the region "{region}" is cut off without the store')
def step_region_cut(context, region):
    context.model.cut_region(region, with_store=False)


@then('after {after_ms:d} ms only VMs outside "{region}" act')
def step_outside_acts(context, after_ms, region):
    context.model.run(after_ms)
    outside = {name for name, vm in context.model.vms.items() if vm.region != region}
    assert {vm.name for vm in context.model.acting()} == outside


@when("the cut heals")
def step_heal(context):
    context.model.heal()


@when("callers on {spread:d} VMs ask at {part:g} of the rate for {seconds:d} s")
def step_callers(context, spread, part, seconds):
    model = context.model
    context.results = []
    begin_ms = model.now_ms
    sent = 0
    while model.now_ms < begin_ms + seconds * 1_000:
        elapsed_ms = model.now_ms - begin_ms
        while sent < elapsed_ms * RATE * part / 1000:
            name = f"vm-{sent % spread + 1}"
            steady = elapsed_ms >= STEADY_AFTER_MS
            model.request(name, "alder", "lookup", record_result(context, steady))
            sent += 1
        model.step()
    model.run(1_000)


def record_result(context, steady):
    return lambda granted: context.results.append((steady, granted))


@then("no window of time got more than rate and burst")
def step_windows(context):
    context.model.check_granted(RATE, BURST)


@then("at most {refused:d} in a thousand were refused in the steady part")
def step_refused(context, refused):
    steady = [granted for is_steady, granted in context.results if is_steady]
    assert steady
    assert steady.count(False) * 1_000 <= refused * len(
        steady
    ), f"{steady.count(False)} of {len(steady)}"


@when("a burst of {count:d} requests comes to one idle VM")
def step_burst(context, count):
    context.results = []
    context.model.run(2_000)
    for _ in range(count):
        context.model.request("vm-2", "alder", "lookup", record_result(context, True))
    context.model.run(400)


@then("at least {count:d} of them are granted within 250 ms")
def step_burst_granted(context, count):
    granted = sum(granted for _, granted in context.results)
    assert granted >= count, granted


@given("a borrower that asked twice")
def step_borrower(context):
    context.borrower = Borrower(2_000)
    context.borrower.record_request("vm-2", 1, 100, 0)
    context.borrower.record_request("vm-2", 2, 100, 50)


@when("the reply to the first request arrives")
def step_first_reply(context):
    assert not context.borrower.on_reply("vm-2", 1, 100, 0)


@then("the borrower holds nothing")
def step_holds_nothing(context):
    assert context.borrower.total_borrowed(60) == 0


@when("the reply to the second request arrives twice")
def step_second_reply(context):
    assert context.borrower.on_reply("vm-2", 2, 100, 0)
    assert not context.borrower.on_reply("vm-2", 2, 100, 0)


@then("the borrower holds what was lent once")
def step_holds_once(context):
    assert context.borrower.total_borrowed(60) == 100
    assert context.borrower.total_borrowed(2_050) == 0


@when("an organisation is removed and added again while its shares are lent")
def step_remove_and_add(context):
    model = context.model
    load(model, 2_000)
    without = example_configuration()._replace(organisations=())
    model.change("vm-1", ReplaceConfiguration(model.head_number(), without))
    load(model, 300)
    model.change("vm-1", ReplaceConfiguration(model.head_number(), example_configuration()))
    load(model, 5_000)
    held = [
        vm.node.rates.find("alder", "lookup").held_share(vm.clock.now_ms()) for vm in model.acting()
    ]
    assert sum(held) <= WHOLE_SHARE_MILLIONTHS


def load(model, duration_ms):
    end_ms = model.now_ms + duration_ms
    while model.now_ms < end_ms:
        if model.now_ms % 20 == 0:
            model.request("vm-2", "alder", "lookup", lambda _granted: None)
        model.step()
