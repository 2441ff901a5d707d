"""Steps on the log lines about servers that are taken for silent."""

import re

from behave import then, when
from loguru import logger

from berylbankd._internal.entry.silence_log import ServerSilence, SilenceLog


def capture_lines(context, write):
    context.lines = []
    sink = logger.add(context.lines.append, format="{message}")
    try:
        write()
    finally:
        logger.remove(sink)


@when(
    "a request finds a server silent for {waited_ms:d} ms with {left_ms:d} ms left"
    " and no retry credit"
)
def step_silent(context, waited_ms, left_ms):
    silence = ServerSilence("desk-2", waited_ms, left_ms)
    capture_lines(context, lambda: SilenceLog().write("r17", silence, "none: no retry credit", 0))


@when("{count:d} requests within {seconds:d} s find their server silent")
def step_many_silent(context, count, seconds):
    silence_log = SilenceLog()
    silence = ServerSilence("desk-2", 250, 2_750)

    def write():
        for number in range(count):
            now_ms = number * seconds * 1_000 // count
            silence_log.write(f"r{number}", silence, "none: no retry credit", now_ms)
        silence_log.write("last", silence, "none: no retry credit", seconds * 1_000 + 1_000)

    capture_lines(context, write)
    context.sent = count + 1


@then("the log has one line with its request id, the server, both times and the reason")
def step_one_line(context):
    assert len(context.lines) == 1, context.lines
    for part in ("r17", "desk-2", "250 ms", "2750 ms", "none: no retry credit"):
        assert part in context.lines[0], (part, context.lines[0])


@then("the log has at most {count:d} lines")
def step_line_limit(context, count):
    assert 0 < len(context.lines) <= count, len(context.lines)


@then("the last line counts the dropped ones")
def step_dropped(context):
    dropped = sum(int(re.search(r"(\d+) such lines", line)[1]) for line in context.lines)
    assert dropped + len(context.lines) == context.sent, (dropped, len(context.lines))
