"""Which weights the desired state wants, and where they come from."""

from dataclasses import dataclass

# Version of the weights that is served before any is named.
FIRST_VERSION = 1


@dataclass(frozen=True)
class Wanted:
    """The version of a model that the targets of a service are to serve.

    :param chunk_bytes: size of each chunk.
    :param heard_at: monotonic time at which the version was heard of, ``-inf`` if it
        is the first.
    """

    service: str
    model: str
    version: int
    layers: int
    chunk_bytes: int
    heard_at: float

    @property
    def key(self):
        """Return what tells these weights from others."""
        return self.model, self.version


def find_wanted(desired, versions):
    """Return the :class:`Wanted` rows by service.

    :param desired: the :class:`~banyanshore.state.DesiredState`, or ``None``.
    :param versions: the :class:`~banyanshore.routing.version_switch.VersionSwitch`.
    """
    wanted = {}
    services = desired.document["services"] if desired else {}
    for name, row in services.items():
        engine = row.get("engine") or {}
        if not engine.get("models") or not engine.get("chunk_bytes"):
            continue
        model = engine["models"][0]["name"]
        wanted[name] = Wanted(
            name,
            model,
            max(FIRST_VERSION, versions.latest_version(model)),
            engine.get("layers", 0),
            engine["chunk_bytes"],
            versions.known_since(model),
        )
    return wanted


def find_origin(desired):
    """Return the row of the origin of weights in the desired state, or ``None``."""
    services = desired.document["services"] if desired else {}
    return next((row for row in services.values() if row["kind"] == "origin"), None)
