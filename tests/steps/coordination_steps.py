"""Steps on the coordination of VMs on a virtual clock, and the fault matrix."""

from behave import given, then, when

from berylbank._internal.models.changes import ForgetVm, GrantKey, ReplaceConfiguration
from berylbank._internal.models.configuration import ApiKey, Configuration
from berylbank._internal.models.head import WHOLE_SHARE_MILLIONTHS, Head, Seat
from berylbank._internal.settings import TimingSettings
from berylbank._internal.wire.messages import ConfirmReply, ConfirmRequest
from berylbankd._internal.changes.head_writer import Written
from berylbankd._internal.coordination.lease_state import LeaseState
from berylbankd._internal.coordination.timing import derive_timing
from berylbankd._internal.loans.ledger import Borrower
from tests.support.campaign import (
    BURST,
    RATE,
    make_example_configuration,
    run_campaign,
    settled_model,
)
from tests.support.histories import HISTORIES
from tests.support.matrix import inject_at_every_offset
from tests.support.mutations import apply_mutation

RECOVERY_TIMEOUT_MS = 40_000
HEAD_NUMBER = 5
STEADY_STATE_AFTER_MS = 5_000


def record_violation(context, action):
    context.violation = None
    try:
        action()
    except AssertionError as error:
        context.violation = str(error) or "assertion failed"


@when('"{fault}" occurs at each moment of "{step}"')
def step_matrix(context, step, fault):
    record_violation(context, lambda: inject_at_every_offset(step, (fault,)))


@when('"{fault}" and "{other}" occur together at each moment of "{step}"')
def step_matrix_pair(context, step, fault, other):
    record_violation(context, lambda: inject_at_every_offset(step, (fault, other)))


@when('the history "{history}" runs')
def step_history(context, history):
    record_violation(context, HISTORIES[history])


@when('the history "{history}" runs with the mutation that {mutation}')
def step_history_mutated(context, history, mutation):
    with apply_mutation(mutation):
        record_violation(context, HISTORIES[history])


@when("{examples:d} random schedules of {steps:d} steps run")
def step_campaign(context, examples, steps):
    record_violation(context, lambda: run_campaign(examples, steps))


@when("{examples:d} random schedules of {steps:d} steps run with the mutation that {mutation}")
def step_campaign_mutated(context, examples, steps, mutation):
    with apply_mutation(mutation):
        record_violation(context, lambda: run_campaign(examples, steps, shrink=False))


@then("no invariant is violated")
def step_not_violated(context):
    assert context.violation is None, context.violation


@then("an invariant is violated")
def step_violated(context):
    assert context.violation is not None, "the mutation violated no invariant"


def make_lease_state():
    timing = derive_timing(TimingSettings())
    return LeaseState("vm-1", timing, 0, iter(range(1, 1000)))


def make_head(number):
    address = "127.0.0.1:1"
    seats = tuple(Seat(f"vm-{i}", address, address, address, "north", "n-1") for i in (1, 2, 3))
    return Head(number, "", seats)


@given("a VM that started to read the head at {at_ms:d} ms")
def step_reading(context, at_ms):
    context.lease_state = make_lease_state()
    context.started_ms = at_ms


@when("the answer arrives at {at_ms:d} ms")
def step_answer(context, at_ms):
    context.lease_state.on_head_read(
        context.started_ms, make_head(HEAD_NUMBER), Configuration(), at_ms
    )
    context.now_ms = at_ms


@then("the VM may act at {at_ms:d} ms")
def step_may_act(context, at_ms):
    assert context.lease_state.may_act(at_ms)


@then("the VM may not act at {at_ms:d} ms")
def step_may_not_act(context, at_ms):
    assert not context.lease_state.may_act(at_ms)


@when("the VM hears of the next head")
def step_hears(context):
    context.lease_state.observe_head_number(HEAD_NUMBER + 1)


@given("a VM that has just started")
def step_started(context):
    context.lease_state = make_lease_state()


@when("another VM asks it to confirm head {number:d}")
def step_asked(context, number):
    context.reply = context.lease_state.on_confirm_request(ConfirmRequest(1, number))


@then("it does not confirm")
def step_not_confirmed(context):
    assert not context.reply.confirmed


@when("the store stops answering and two confirm rounds start")
def step_two_rounds(context):
    lease_state = context.lease_state
    context.lease_before = lease_state.lease_until_ms
    first = lease_state.on_head_read_failed(context.now_ms + 500)[0]
    lease_state.on_head_read_failed(context.now_ms + 600)
    context.round_id = first.message.round_id


@when("two VMs reply to the first round only")
def step_first_round(context):
    for sender in ("vm-2", "vm-3"):
        reply = ConfirmReply(context.round_id, HEAD_NUMBER, True)
        context.lease_state.on_confirm_reply(sender, reply, context.now_ms + 700)


@then("the lease is unchanged")
def step_same_lease(context):
    assert context.lease_state.lease_until_ms == context.lease_before


@given("a settled fleet of {count:d} VMs")
def step_fleet(context, count):
    context.model = settled_model(21, count)
    context.model.run(1_000)


@when("the VM that held the first seat dies")
def step_first_seated_dies(context):
    first = context.model.store.rows["head"]
    assert first.version > 1
    context.model.kill("vm-1")


@then("every running VM is seated and acts again without the failed one")
@then("every running VM is seated and acts again")
def step_recovered(context):
    model = context.model
    assert model.run_until(model.is_settled, RECOVERY_TIMEOUT_MS)


@when("the store goes down")
def step_store_down(context):
    context.model.store.down = True
    context.model.run(3_000)


@when("the store is available again")
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
        lambda: model.vms["vm-2"].node.lease_state.head.number == outcome.number, 1_000
    )
    model.kill("vm-1")


@then("all running VMs act on the change within {limit_ms:d} ms")
def step_all_act(context, limit_ms):
    model = context.model

    def all_act():
        acting = model.list_acting_vms()
        return len(acting) == 4 and all(
            vm.node.lease_state.head.number == context.number for vm in acting
        )

    model.run(2_500)
    assert model.run_until(all_act, limit_ms)


@when("three VMs fail permanently")
def step_three_fail(context):
    context.failed_vms = ("vm-3", "vm-4", "vm-5")
    for name in context.failed_vms:
        context.model.kill(name)


@then("the other VMs can't remove their seats")
def step_seats_kept(context):
    context.model.run(15_000)
    assert len(context.model.vms["vm-1"].node.lease_state.head.seats) == 5


@when("an operator declares the failed VMs ended")
def step_declare(context):
    for name in context.failed_vms:
        outcome = context.model.change("vm-1", ForgetVm(name))
        assert isinstance(outcome, Written)


@when("every VM restarts")
def step_all_restart(context):
    context.reads = context.model.store.reads
    context.restarted_ms = context.model.now_ms
    for name in list(context.model.vms):
        context.model.restart(name)


@then("the store was read fewer than {limit:d} times a second")
def step_reads(context, limit):
    elapsed_s = (context.model.now_ms - context.restarted_ms) / 1000
    assert (context.model.store.reads - context.reads) / max(1.0, elapsed_s) < limit


@then("it acts again within {limit_ms:d} ms")
def step_serves_again(context, limit_ms):
    model = context.model
    context.shares = []

    def serves():
        rates = model.vms["vm-3"].node.rate_limiter
        shares = [bucket.own_share for bucket in rates.buckets.values()]
        context.shares.append((model.now_ms - context.restarted_ms, max(shares, default=0)))
        return model.vms["vm-3"].may_act()

    assert model.run_until(serves, limit_ms)


@then("it held no share of a rate before {limit_ms:d} ms")
def step_held_no_share(context, limit_ms):
    assert all(share == 0 for at_ms, share in context.shares if at_ms < limit_ms)


@then("no VM acts after {after_ms:d} ms")
def step_none_acts(context, after_ms):
    context.model.run(after_ms)
    assert not context.model.list_acting_vms()


@when('the region "{region}" is cut off from the other regions and the store')
def step_region_cut(context, region):
    context.model.cut_region(region, with_store=False)


@then('after {after_ms:d} ms only VMs outside "{region}" act')
def step_outside_acts(context, after_ms, region):
    context.model.run(after_ms)
    outside = {name for name, vm in context.model.vms.items() if vm.region != region}
    assert {vm.name for vm in context.model.list_acting_vms()} == outside


@when("the region is connected again")
def step_reconnect(context):
    context.model.heal()


@when("callers send requests to {spread:d} VMs at {part:g} of the rate for {seconds:d} s")
def step_callers(context, spread, part, seconds):
    model = context.model
    context.results = []
    begin_ms = model.now_ms
    sent = 0
    while model.now_ms < begin_ms + seconds * 1_000:
        elapsed_ms = model.now_ms - begin_ms
        while sent < elapsed_ms * RATE * part / 1000:
            name = f"vm-{sent % spread + 1}"
            steady = elapsed_ms >= STEADY_STATE_AFTER_MS
            model.request(name, "alder", "lookup", record_result(context, steady))
            sent += 1
        model.step()
    model.run(1_000)


def record_result(context, steady):
    return lambda granted: context.results.append((steady, granted))


@then("no window of time was granted more than rate and burst allow")
def step_windows(context):
    context.model.check_granted(RATE, BURST)


@then("at most {refused:d} in a thousand were refused after warm-up")
def step_refused(context, refused):
    steady = [granted for is_steady, granted in context.results if is_steady]
    assert steady
    assert steady.count(False) * 1_000 <= refused * len(
        steady
    ), f"{steady.count(False)} of {len(steady)}"


@when("a burst of {count:d} requests arrives at one idle VM")
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


@given("a borrower that sent two loan requests")
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


@then("the borrower holds the loan once")
def step_holds_once(context):
    assert context.borrower.total_borrowed(60) == 100
    assert context.borrower.total_borrowed(2_050) == 0


@when("an organisation is removed and added again while its shares are lent")
def step_remove_and_add(context):
    model = context.model
    run_under_load(model, 2_000)
    without = make_example_configuration()._replace(organisations=())
    model.change("vm-1", ReplaceConfiguration(model.head_number(), without))
    run_under_load(model, 300)
    model.change("vm-1", ReplaceConfiguration(model.head_number(), make_example_configuration()))
    run_under_load(model, 5_000)
    held = [
        vm.node.rate_limiter.find("alder", "lookup").held_share(vm.clock.now_ms())
        for vm in model.list_acting_vms()
    ]
    assert sum(held) <= WHOLE_SHARE_MILLIONTHS


def run_under_load(model, duration_ms):
    end_ms = model.now_ms + duration_ms
    while model.now_ms < end_ms:
        if model.now_ms % 20 == 0:
            model.request("vm-2", "alder", "lookup", lambda _granted: None)
        model.step()
