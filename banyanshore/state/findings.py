"""Findings of a check of the desired state before it is sent."""

from enum import StrEnum

from banyanshore.core.values import dataclass


class Level(StrEnum):
    """What a finding means for the document."""

    # The document would be refused.
    ERROR = "error"
    # The document would be accepted, but a part of it has no effect or contradicts
    # another one.
    WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """One finding.

    :param id: stable identifier of the check, for scripts.
    :param place: dotted path of the value in the document.
    :param message: what is wrong, with the values.
    :param hint: how to mend it, or what it does to callers.
    """

    level: Level
    id: str
    place: str
    message: str
    hint: str = ""

    def to_document(self):
        """Return the finding as a JSON object."""
        return {
            "level": self.level.value,
            "id": self.id,
            "place": self.place,
            "message": self.message,
            "hint": self.hint,
        }

    def to_line(self):
        """Return the finding as a line of text."""
        hint = f"; {self.hint}" if self.hint else ""
        return f"{self.level.value} {self.id} {self.place}: {self.message}{hint}"
