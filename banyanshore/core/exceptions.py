"""Base class and common subclasses of the errors that banyanshore raises."""


class BanyanshoreError(Exception):
    """Base class of errors, with the operation and the peer that they concern.

    :param message: description of the error, with the bad value and the expected one.
    :param step: the operation in progress, such as ``"connect"``.
    :param peer: the remote instance or address, empty if there is none.
    """

    def __init__(self, message, *, step="", peer=""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self):
        context = " ".join(
            part
            for part in (
                f"step={self.step}" if self.step else "",
                f"peer={self.peer}" if self.peer else "",
            )
            if part
        )
        return f"{self.message} [{context}]" if context else self.message


class UnavailableError(BanyanshoreError):
    """Signal that a peer or a quorum is currently unreachable."""


class BindError(BanyanshoreError):
    """Signal that listening on an address failed."""

    def __init__(self, address, error):
        reason = error.strerror or error
        super().__init__(f"can't listen on {address}: {reason}", step="bind")


class NotAcceptedError(BanyanshoreError):
    """Signal that a proposal was definitely not accepted."""


class OutcomeUnknownError(BanyanshoreError):
    """Signal that an operation may or may not have taken effect."""
