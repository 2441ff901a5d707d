"""Error types: each carries a message, its context and a hint that names the remedy."""


class BerylbankError(Exception):
    """Base of all errors that an operator may see."""

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
    """A settings file, list or table row does not have the expected shape."""


class ChangeRefusedError(BerylbankError):
    """A configuration change does not apply to the current configuration."""


class TableUnavailableError(BerylbankError):
    """The table service did not answer; nothing was written."""


class OutcomeUnknownError(BerylbankError):
    """The table service did not confirm a write that may have taken effect."""


class ConflictError(BerylbankError):
    """A conditional write lost against another writer; nothing was written."""


class ObjectMissingError(BerylbankError):
    """The object store has no object of that name."""


class ProtocolError(BerylbankError):
    """A peer sent bytes that are not a valid message."""
