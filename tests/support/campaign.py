"""Random schedules of faults, changes and load, generated and minimised by Hypothesis."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from berylbank._internal.models.changes import GrantKey, ReplaceConfiguration, WithdrawKey
from berylbank._internal.models.configuration import ApiKey as Key
from berylbank._internal.models.configuration import (
    Backend,
    Configuration,
    Entitlement,
    Organisation,
    Plan,
    Service,
)
from berylbank._internal.wire.messages import HeadPush, Heartbeat
from tests.support.model import REGIONS, Model

RATE = 40.0
BURST = 12.0
SLOTS_PER_BACKEND = 3
SETTLE_TIMEOUT_MS = 60_000


def make_example_configuration() -> Configuration:
    """Return two organisations, one service and one backend server in each region."""
    return Configuration(
        organisations=(Organisation("alder", "plan"), Organisation("birch", "plan")),
        plans=(Plan("plan", (Entitlement("lookup", RATE, BURST),)),),
        services=(Service("lookup", "/lookup/", "lookup"),),
        backends=tuple(
            Backend(
                f"lookup-{region}",
                "lookup",
                "127.0.0.1:9",
                region,
                f"{region}-1",
                SLOTS_PER_BACKEND,
            )
            for region in REGIONS
        ),
    )


def settled_model(seed: int, count: int, seat_limit: int = 12) -> Model:
    """Return a model whose VMs are seated and act on the example configuration."""
    model = Model(seed, count, seat_limit)
    assert model.run_until(
        model.is_settled, SETTLE_TIMEOUT_MS
    ), f"seed {seed}: the fleet does not settle"
    model.change("vm-1", ReplaceConfiguration(model.head_number(), make_example_configuration()))
    model.run_until(lambda: has_all_owners(model), SETTLE_TIMEOUT_MS)
    return model


def has_all_owners(model: Model) -> bool:
    """Tell whether the fleet is settled and each group of backend servers has an owner."""
    heads = [vm.node.lease_state.head for vm in model.list_acting_vms()]
    return model.is_settled() and all(head is not None and len(head.owners) == 3 for head in heads)


# Hypothesis derives its random seed from the source text of this class, docstrings included, and
# draws among the rules in the order of their names: any rewording or rename inside it changes every
# schedule. ``ApiKey`` is therefore imported as ``Key``.
class Campaign(RuleBasedStateMachine):
    """Faults, operators and callers in any order, on five VMs in three regions."""

    def __init__(self) -> None:
        super().__init__()
        self.model = Model(0, 1)
        self.changes = 0
        self.load: dict[str, int] = {}

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed: int) -> None:
        """Begin with a settled fleet."""
        self.model = settled_model(seed, 5)

    def pick(self, index: int) -> str:
        """Return the name of a VM."""
        return f"vm-{index + 1}"

    @rule(duration_ms=st.sampled_from((50, 200, 700)))
    def pass_short_time(self, duration_ms: int) -> None:
        """Let time pass under load."""
        self._advance(duration_ms)

    @rule(duration_ms=st.sampled_from((2_500, 6_000)))
    def pass_long_time(self, duration_ms: int) -> None:
        """Let leases and loans lapse under load."""
        self._advance(duration_ms)

    @rule(index=st.integers(0, 4), every_ms=st.sampled_from((0, 20, 100)))
    def set_load(self, index: int, every_ms: int) -> None:
        """Let callers of one VM send at a steady pace, or none."""
        self.load[self.pick(index)] = every_ms

    def _advance(self, duration_ms: int) -> None:
        end_ms = self.model.now_ms + duration_ms
        while self.model.now_ms < end_ms:
            for name, every_ms in self.load.items():
                if every_ms and self.model.now_ms % every_ms == 0:
                    self.model.request(name, "alder", "lookup", lambda _granted: None)
            self.model.step()

    @rule(index=st.integers(0, 4), grant=st.booleans())
    def change(self, index: int, grant: bool) -> None:
        """Grant or withdraw a key through any VM."""
        if self.model.vms[self.pick(index)].frozen:
            return
        self.changes += 1
        key = Key(f"key-{self.changes}", f"{self.changes:064x}")
        change = (
            GrantKey("alder", key) if grant else WithdrawKey("alder", f"key-{self.changes - 1}")
        )
        self.model.change(self.pick(index), change)

    @rule(index=st.integers(0, 4), seconds=st.integers(1, 3))
    def change_while_store_is_near_one(self, index: int, seconds: int) -> None:
        """Cut the region of a VM off together with the store, and change something there."""
        name = self.pick(index)
        self.model.cut_region(self.model.vms[name].region, with_store=True)
        self.change(index, True)
        self._advance(seconds * 1_000)

    @rule(index=st.integers(0, 4))
    def keep_ignorant(self, index: int) -> None:
        """Let a VM neither read the store nor hear of heads; its questions still pass."""
        name = self.pick(index)
        self.model.store_cuts.add(name)
        self.model.filters.append(
            lambda _s, receiver, m: receiver == name and isinstance(m, Heartbeat | HeadPush)
        )

    @rule(delay_ms=st.sampled_from((0, 300, 900)))
    def slow_store(self, delay_ms: int) -> None:
        """Slow the store down."""
        self.model.store_delay_ms = delay_ms

    @rule(index=st.integers(0, 4))
    def freeze(self, index: int) -> None:
        """Freeze a VM."""
        self.model.freeze(self.pick(index))

    @rule(index=st.integers(0, 4))
    def resume(self, index: int) -> None:
        """Resume a VM."""
        self.model.resume(self.pick(index))

    @rule(index=st.integers(0, 4))
    def restart(self, index: int) -> None:
        """Restart a VM without memory."""
        self.model.restart(self.pick(index))

    @rule(region=st.sampled_from(REGIONS), with_store=st.booleans())
    def cut_region(self, region: str, with_store: bool) -> None:
        """Cut a region off."""
        self.model.cut_region(region, with_store)

    @rule(a=st.integers(0, 4), b=st.integers(0, 4))
    def cut_one_way(self, a: int, b: int) -> None:
        """Cut one direction between two VMs."""
        self.model.cuts.add((self.pick(a), self.pick(b)))

    @rule(index=st.integers(0, 4))
    def cut_store(self, index: int) -> None:
        """Cut one VM from the store."""
        self.model.store_cuts.add(self.pick(index))

    @rule(down=st.booleans())
    def stop_store(self, down: bool) -> None:
        """Take the store down, or up again."""
        self.model.store.down = down

    @rule(count=st.integers(1, 2))
    def lose_store_answer(self, count: int) -> None:
        """Lose the answers to the next writes after they take effect."""
        self.model.store.lose_answers = count

    @rule(loss=st.sampled_from((0.0, 0.3)), duplication=st.sampled_from((0.0, 0.3)))
    def harm_messages(self, loss: float, duplication: float) -> None:
        """Lose, repeat and reorder messages."""
        self.model.loss = loss
        self.model.duplication = duplication
        self.model.extra_delay_ms = 1_500 if duplication else 0

    @rule()
    def heal(self) -> None:
        """End all faults."""
        self.model.heal()

    def teardown(self) -> None:
        """Heal, and expect the fleet to recover; check every grant."""
        self.model.check_granted(RATE, BURST)


def run_campaign(examples: int, steps: int, shrink: bool = True) -> None:
    """Run the same random schedules each time; raise at the first that violates an invariant."""
    phases = [Phase.explicit, Phase.generate] + ([Phase.shrink] if shrink else [])
    run_state_machine_as_test(
        Campaign,
        settings=settings(
            max_examples=examples,
            stateful_step_count=steps,
            derandomize=True,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )
