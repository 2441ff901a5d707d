"""Requests of a caller to a VM of a fleet of daemon processes."""

from fleet import HOST

BOOKING_SERVERS = ("booking-north", "booking-mid", "booking-south")
LOOKUP_SERVERS = ("lookup-north", "lookup-mid", "lookup-south")


def get_caller_port(context, name="north-1a"):
    return context.fleet.ports[name].callers


def send_get(context, path, key, name="north-1a"):
    headers = {"authorization": f"Bearer {key}"} if key else {}
    url = f"http://{HOST}:{get_caller_port(context, name)}{path}"
    return context.fleet.http.get(url, headers=headers)
