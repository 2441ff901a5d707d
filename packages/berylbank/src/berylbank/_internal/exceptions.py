"""Exceptions: each has a message, its context and a hint that names the remedy."""


class BerylbankError(Exception):
    """Base class of all errors that are shown to operators."""

    def __init__(self, message: str, *, context: str = "", hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        parts = [f"{self.context}: {self.message}" if self.context else self.message]
        if self.hint:
            parts.append(f"hint: {self.hint}")
        return "\n".join(parts)


class InvalidDocumentError(BerylbankError):
    """A settings file, list, message body or stored row is invalid."""


class ChangeRefusedError(BerylbankError):
    """A configuration change does not apply to the current configuration."""


class PlatformUnavailableError(BerylbankError):
    """The table service, object store or VM list failed; a conditional write did not happen."""


class OutcomeUnknownError(BerylbankError):
    """The table service did not confirm a write that may have taken effect."""


class ConflictError(BerylbankError):
    """The row of a conditional write has changed since it was read; nothing was written."""


class ObjectMissingError(BerylbankError):
    """The object store has no object of that name."""


class ProtocolError(BerylbankError):
    """A peer sent bytes that are not a valid message of this protocol version."""
