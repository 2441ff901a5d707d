"""Measures the round-trip time to other regions by opening a TCP connection to one VM in each."""

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.peers.messages import Member
from berylbankd._internal.steering.steering import Steering

# The first measurements are repeated soon, as a VM that has just started is busy, which distorts
# them. Later the times only change when network links change.
INITIAL_MEASUREMENTS = 3
INITIAL_MEASURE_INTERVAL_S = 1.0
MEASURE_INTERVAL_S = 30.0
CONNECT_TIMEOUT_S = 1.0


class RoundTripMeter:
    """Records for the steering decisions how long opening a connection to each region takes."""

    def __init__(self, steering: Steering, port: int, clock: Clock) -> None:
        self.steering = steering
        self.port = port
        self.clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        measurements = 0
        while True:
            await anyio.sleep(
                INITIAL_MEASURE_INTERVAL_S
                if measurements < INITIAL_MEASUREMENTS
                else MEASURE_INTERVAL_S
            )
            members = self.steering.choose_measured_vms()
            for region, member in members.items():
                await self._measure(region, member)
            measurements += 1 if members else 0

    async def _measure(self, region: str, member: Member) -> None:
        started_ms = self.clock.now_ms()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(member.host, self.port)
        except (OSError, TimeoutError) as error:
            logger.info(
                "round-trip time to region {} could not be measured, keeping the estimate: {}",
                region,
                type(error).__name__,
            )
            return
        self.steering.region_planner.round_trips.record(region, self.clock.now_ms() - started_ms)
        await anyio.aclose_forcefully(stream)
