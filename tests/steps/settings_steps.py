"""Steps on validating settings and lists, and on decoding of arbitrary input."""

import tomllib
from pathlib import Path

import tomli_w
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from berylbank._internal.exceptions import BerylbankError, InvalidDocumentError, ProtocolError
from berylbank._internal.models.configuration import parse_configuration
from berylbank._internal.models.head import Head, Seat, dump_head, load_head
from berylbank._internal.settings import load_settings
from berylbank._internal.wire.codec import decode_envelope, encode_envelope
from berylbank._internal.wire.messages import Envelope, LoanRequest, LoanRequestItem
from berylctl._internal.operations.lists import read_lists

ROOT = Path(__file__).parent.parent.parent
BACKEND_COUNT_AND_SLOTS = {
    "faner": {"lookup": (16, 8), "booking": (12, 6), "images": (12, 3)},
    "diop": {"history": (20, 3), "booking": (14, 3), "scans": (12, 3)},
}
FUZZ_SETTINGS = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
DOCUMENTS = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(("name", "plan", "plans", "organisations", "keys", "services", "slots")),
        inner,
        max_size=4,
    ),
    max_leaves=12,
)


@when("the settings have {key} set to {value}")
def step_set_setting(context, key, value):
    folder = Path(context.config.base_dir) / "unit"
    raw = tomllib.loads((ROOT / "examples/faner/vm.toml").read_text())
    section, _, name = key.partition(".")
    raw[section][name] = tomllib.loads(f"value = {value}")["value"]
    context.error = load_settings_error(raw, folder)


def load_settings_error(raw, _folder):
    """Write ``raw`` as a settings file and load it; return the error, or None if it is valid."""
    import tempfile

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "fleet.key").write_text("0" * 64)
        if raw["fleet"]["key_file"] == "fleet.key":
            raw["fleet"]["key_file"] = str(folder / "fleet.key")
        path = folder / "vm.toml"
        path.write_text(tomli_w.dumps(raw))
        try:
            load_settings(path)
        except BerylbankError as error:
            return error
    return None


@then('the settings are rejected, naming "{named}"')
def step_settings_error_names(context, named):
    assert context.error is not None, "the settings were accepted"
    assert named in str(context.error), str(context.error)
    assert context.error.hint


@then('the lists of "faner" and "diop" are valid and have the expected backend servers')
def step_examples(_context):
    for name, expected in BACKEND_COUNT_AND_SLOTS.items():
        folder = ROOT / "examples" / name
        configuration = read_lists(
            [folder / f"{kind}.toml" for kind in ("organisations", "plans", "services")]
        )
        assert len(configuration.organisations) == 8
        for service, (count, slots) in expected.items():
            backends = [b for b in configuration.backends if b.service == service]
            assert len(backends) == count and all(b.slots == slots for b in backends)
        assert len({b.failure_domain for b in configuration.backends}) == 6


@then("300 random documents are parsed or rejected")
def step_fuzz_documents(_context):
    @FUZZ_SETTINGS
    @given(DOCUMENTS)
    def check(raw):
        try:
            parse_configuration(raw, "fuzz")
        except InvalidDocumentError as error:
            assert error.hint

    check()


@then("300 random and corrupted messages are decoded or rejected")
def step_fuzz_messages(_context):
    message = LoanRequest(9, (LoanRequestItem("rate:alder:lookup", 3, 4),) * 3)
    valid_bytes = encode_envelope(Envelope("vm-1", 7, message))

    @FUZZ_SETTINGS
    @given(st.binary(max_size=64), st.integers(0, len(valid_bytes) - 1), st.integers(0, 255))
    def check(random_bytes, position, value):
        corrupted = bytearray(valid_bytes)
        corrupted[position] = value
        for data in (
            random_bytes,
            bytes(corrupted),
            valid_bytes[:position],
            valid_bytes + random_bytes,
        ):
            try:
                assert isinstance(decode_envelope(data), Envelope)
            except ProtocolError as error:
                assert error.hint

    check()


@then("300 random head rows are decoded or rejected")
def step_fuzz_heads(_context):
    address = "127.0.0.1:1"
    seat = Seat("vm-1", address, address, address, "north", "north-1")
    valid_bytes = dump_head(Head(3, "configuration-3", (seat,)))

    @FUZZ_SETTINGS
    @given(st.binary(max_size=40), st.integers(0, len(valid_bytes) - 1), st.integers(0, 255))
    def check(random_bytes, position, value):
        corrupted = bytearray(valid_bytes)
        corrupted[position] = value
        for data in (
            random_bytes,
            bytes(corrupted),
            valid_bytes[:position],
            valid_bytes.replace(b'"number":3', random_bytes),
        ):
            try:
                assert isinstance(load_head(data), Head)
            except InvalidDocumentError as error:
                assert error.hint

    check()
