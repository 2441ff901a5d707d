"""Measures the way to other regions, by connections to one VM in each."""

import anyio
from loguru import logger

from berylbank._internal.utils.clock import Clock
from berylbankd._internal.peers.messages import Heartbeat
from berylbankd._internal.steering.steering import Steering

# A VM that has just started measures a few times, as it is busy; later only links change.
FIRST_MEASURES = 3
FIRST_EVERY_S = 1.0
LATER_EVERY_S = 30.0
TIMEOUT_S = 1.0


class RoundTripMeter:
    """Tells the decisions how long a connection to each region takes to open."""

    def __init__(self, steering: Steering, port: int, clock: Clock) -> None:
        self.steering = steering
        self.port = port
        self.clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        measured = 0
        while True:
            await anyio.sleep(FIRST_EVERY_S if measured < FIRST_MEASURES else LATER_EVERY_S)
            beats = self.steering.regions_to_measure()
            for region, beat in beats.items():
                await self._measure(region, beat)
            measured += 1 if beats else 0

    async def _measure(self, region: str, beat: Heartbeat) -> None:
        started_ms = self.clock.now_ms()
        try:
            with anyio.fail_after(TIMEOUT_S):
                stream = await anyio.connect_tcp(beat.host, self.port)
        except (OSError, TimeoutError) as error:
            logger.info("way to {} not measured: {}", region, type(error).__name__)
            return
        self.steering.region_planner.round_trips.record(region, self.clock.now_ms() - started_ms)
        await anyio.aclose_forcefully(stream)
