"""Steps on how the object of a request is found in its cookies."""

import time

from behave import then

from berylbankd._internal.platform.headers import PlatformHeaderCodec

REPEATS = 20


def find_key(cookies):
    return PlatformHeaderCodec().decode_request([(b"cookie", cookies)]).object_key


@then('the cookies {cookies} name the object "{key}"')
@then('the cookies {cookies} name the object ""')
def step_key(context, cookies, key=""):
    assert find_key(cookies.encode()) == key, find_key(cookies.encode())


def measure_s(escapes):
    """Return the least processor time of some repetitions."""
    cookies = b'X-Affinity-Key="' + b'\\"' * escapes + b'"'
    times_s = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        find_key(cookies)
        times_s.append(time.process_time() - started_s)
    return min(times_s)


@then("a cookie with {many:d} escapes takes at most {factor:d} times as long as one with {few:d}")
def step_proportion(context, many, factor, few):
    few_s, many_s = measure_s(few), measure_s(many)
    assert many_s <= factor * few_s, f"{many_s:.6f} s, {few_s:.6f} s"
