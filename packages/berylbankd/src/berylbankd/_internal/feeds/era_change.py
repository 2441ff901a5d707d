"""What stays in use when the store comes back from a copy, decided without I/O.

The copy is some seconds older than what the store had acknowledged. A row that it lacks, or has in
an older state, is written again within moments, or never. So the first reads of a new era do not
decide alone; a later one does. Until then:

=================  ===============================  =============================================
Row                The copy lacks it                The copy has another version
=================  ===============================  =============================================
configuration      the known one stays              the one with the higher version
evacuation         it goes on                       it begins
release order      the known one stays              the known one stays
backend server     kept as after an outage          the one that drains, or that started or wrote
                                                    later; one that had left stays away
others             the copy's                       the copy's
=================  ===============================  =============================================

What is written in the new era reaches the VMs by the feed and applies at once.
"""

from collections.abc import Callable

from berylbankd._internal.models.rows import Row
from berylbankd._internal.steering.routing_state import RowCodec


class EraChange:
    """Decides between the known version of a row and the one that a new era begins with."""

    def __init__(self, row_codec: RowCodec) -> None:
        self.row_codec = row_codec
        self.rules: dict[str, Callable[[Row, Row | None], bool]] = {
            row_codec.orders_table: self._keeps_order,
            row_codec.servers_table: self._keeps_server,
        }

    def keeps(self, known: Row, read: Row | None) -> bool:
        """Tell whether the known version stays; ``read`` is None if the copy lacks the row."""
        rule = self.rules.get(known.key.table)
        return rule is not None and rule(known, read)

    def _keeps_order(self, known: Row, read: Row | None) -> bool:
        if read is None:
            return True
        if known.key == self.row_codec.configuration_key:
            known_configuration = self.row_codec.decode_configuration(known)
            configuration = self.row_codec.decode_configuration(read)
            if known_configuration is None or configuration is None:
                return known_configuration is not None
            return configuration.version < known_configuration.version
        return self.row_codec.decode_evacuation(read) is None

    def _keeps_server(self, known: Row, read: Row | None) -> bool:
        if read is None:
            return False
        if known.value is None:
            return True
        known_server, server = (self.row_codec.decode_server(row) for row in (known, read))
        if known_server is None or server is None:
            return False
        if server.draining and not known_server.draining:
            return False
        known_age = (known_server.started_ms, known_server.sequence)
        return (server.started_ms, server.sequence) <= known_age
