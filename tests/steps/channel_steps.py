"""Steps on the connections between VMs; they wait for conditions rather than for a fixed time."""

import tempfile
from pathlib import Path
from unittest import mock

import anyio
import trustme
from anyio.streams.stapled import StapledByteStream
from behave import given, then, when
from fleet import HOST, free_port

from berylbank._internal.exceptions import ProtocolError
from berylbank._internal.settings import FleetSettings
from berylbank._internal.wire.messages import HeadAck
from berylbankd._internal.application import make_tls_contexts
from berylbankd._internal.channel import channel as channel_module
from berylbankd._internal.channel.channel import Channel, ChannelSettings
from berylbankd._internal.channel.handshake import handshake_as_dialer, handshake_as_listener

FLEET_KEY = b"k" * 32
OTHER_FLEET_KEY = b"o" * 32
PAYLOADS = (b"one", b"two", b"three")
ARRIVAL_TIMEOUT_S = 30
NO_ARRIVAL_WAIT_S = 1.5


class Pipe:
    """One direction of an in-memory byte stream."""

    def __init__(self):
        self.sender, self.receiver = anyio.create_memory_object_stream(1_000)

    async def send(self, data):
        await self.sender.send(bytes(data))

    async def receive(self, max_bytes=65_536):
        return await self.receiver.receive()

    async def aclose(self):
        self.sender.close()

    async def send_eof(self):
        self.sender.close()


def make_stream_pair():
    outbound, inbound = Pipe(), Pipe()
    return StapledByteStream(outbound, inbound), StapledByteStream(inbound, outbound)


async def complete_handshake(dialer_key, listener_key):
    """Return the dialer's frame encoder, the listener's frame reader, the dialer's stream."""
    dialer, listener = make_stream_pair()
    ends = {}

    async def dial():
        ends["encoder"] = await handshake_as_dialer(dialer, dialer_key)

    async def listen():
        ends["reader"] = await handshake_as_listener(listener, listener_key)

    async with anyio.create_task_group() as group:
        group.start_soon(dial)
        group.start_soon(listen)
    return ends["encoder"], ends["reader"], dialer


@when("a dialer and a listener with the same key complete the handshake")
def step_handshake(context):
    context.manipulation = None


@then("{count:d} frames arrive in order")
def step_frames_arrive(context, count):
    async def run():
        encoder, reader, stream = await complete_handshake(FLEET_KEY, FLEET_KEY)
        for payload in PAYLOADS[:count]:
            await stream.send(encoder.encode_frame(payload))
        assert [await reader.receive_frame() for _ in range(count)] == list(PAYLOADS[:count])

    anyio.run(run)


@when("a frame is {manipulation}")
def step_manipulate(context, manipulation):
    context.manipulation = manipulation


MANIPULATIONS = {
    "changed": lambda frames: [frames[0][:-1] + b"x"],
    "repeated": lambda frames: [frames[0], frames[0]],
    "left out": lambda frames: [frames[1]],
    "far too big": lambda frames: [b"\xff" * 20 + frames[0]],
}


@then("the listener rejects the connection")
def step_listener_rejects(context):
    async def run():
        encoder, reader, stream = await complete_handshake(FLEET_KEY, FLEET_KEY)
        frames = [encoder.encode_frame(payload) for payload in PAYLOADS]
        for frame in MANIPULATIONS[context.manipulation](frames):
            await stream.send(frame)
        try:
            for _ in range(2):
                await reader.receive_frame()
        except ProtocolError as error:
            return error
        return None

    error = anyio.run(run)
    assert error is not None and error.hint


@when("a {end} with another key attempts the handshake")
def step_other_key(context, end):
    keys = (OTHER_FLEET_KEY, FLEET_KEY) if end == "dialer" else (FLEET_KEY, OTHER_FLEET_KEY)
    context.error = None
    try:
        anyio.run(complete_handshake, *keys)
    except BaseExceptionGroup as group:
        context.error = group


@then("the handshake fails")
def step_handshake_fails(context):
    assert context.error is not None
    assert context.error.subgroup(ProtocolError) is not None


def make_certificates(folder):
    ca = trustme.CA()
    certificate = ca.issue_cert(HOST)
    paths = {name: str(folder / name) for name in ("authority", "certificate", "key")}
    ca.cert_pem.write_to_path(paths["authority"])
    certificate.cert_chain_pems[0].write_to_path(paths["certificate"])
    certificate.private_key_pem.write_to_path(paths["key"])
    return FleetSettings("", paths["certificate"], paths["key"], paths["authority"])


def make_channel(name, address, contexts, received):
    settings = ChannelSettings(name, 1, address, FLEET_KEY, *contexts)
    return Channel(settings, received.append, lambda: 0.0)


@given("two channels with certificates of one CA")
def step_channels_with_certificates(context):
    with tempfile.TemporaryDirectory() as folder:
        contexts = make_tls_contexts(make_certificates(Path(folder)))
    context.contexts = (contexts, contexts)


@given("two channels, one of them without a certificate")
def step_channel_without_certificate(context):
    with tempfile.TemporaryDirectory() as folder:
        contexts = make_tls_contexts(make_certificates(Path(folder)))
    context.contexts = ((None, None), contexts)


@when("one channel sends the other a message")
def step_send(context):
    context.received = []
    anyio.run(send_between, context)


async def send_between(context):
    address = f"{HOST}:{free_port()}"
    sender = make_channel("a", f"{HOST}:{free_port()}", context.contexts[0], [])
    receiver = make_channel("b", address, context.contexts[1], context.received)
    async with anyio.create_task_group() as group:
        group.start_soon(sender.run, group)
        group.start_soon(receiver.run, group)
        await anyio.sleep(0)
        sender.connect("b", address)
        with anyio.move_on_after(
            NO_ARRIVAL_WAIT_S if context.contexts[0][0] is None else ARRIVAL_TIMEOUT_S
        ):
            while not sender.send("b", HeadAck(1, 7)):
                await anyio.sleep(0.01)
            while not context.received:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


@then("the message arrives once")
def step_arrives(context):
    assert [envelope.message for envelope in context.received] == [HeadAck(1, 7)]


@then("no message arrives")
def step_no_message(context):
    assert context.received == []


@given("two channels connected through a proxy that can stop forwarding")
def step_proxy(context):
    context.contexts = ((None, None), (None, None))


@when("the proxy stops forwarding on open connections but not on new ones")
def step_proxy_stops_forwarding(context):
    context.received = []
    with mock.patch.multiple(channel_module, SILENCE_TIMEOUT_S=0.5, FRAME_COUNT_INTERVAL_S=0.1):
        anyio.run(send_through_proxy, context)


async def send_through_proxy(context):
    address, proxy_port = f"{HOST}:{free_port()}", free_port()
    sender = make_channel("a", f"{HOST}:{free_port()}", (None, None), [])
    receiver = make_channel("b", address, (None, None), context.received)
    context.connections = 0
    stalled = set()

    async def relay(source, target, number):
        try:
            while True:
                data = await source.receive()
                if number not in stalled:
                    await target.send(data)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return

    async def serve(stream):
        context.connections += 1
        number = context.connections
        host, _, port = address.rpartition(":")
        try:
            outgoing = await anyio.connect_tcp(host, int(port))
        except OSError:
            # The receiver may not listen yet; the sender retries.
            await stream.aclose()
            return
        async with stream, outgoing, anyio.create_task_group() as relays:
            relays.start_soon(relay, stream, outgoing, number)
            relays.start_soon(relay, outgoing, stream, number)

    async with anyio.create_task_group() as group:
        group.start_soon(sender.run, group)
        group.start_soon(receiver.run, group)
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=proxy_port)
        group.start_soon(listener.serve, serve)
        sender.connect("b", f"{HOST}:{proxy_port}")
        with anyio.move_on_after(ARRIVAL_TIMEOUT_S):
            while not context.received:
                sender.send("b", HeadAck(1, 1))
                await anyio.sleep(0.02)
            stalled.update(range(1, context.connections + 1))
            context.stalled_connections = context.connections
            while all(envelope.message.known != 2 for envelope in context.received):
                sender.send("b", HeadAck(1, 2))
                await anyio.sleep(0.02)
        group.cancel_scope.cancel()


@then("a message arrives on a new connection")
def step_new_connection(context):
    assert any(envelope.message.known == 2 for envelope in context.received)
    assert context.connections > context.stalled_connections
