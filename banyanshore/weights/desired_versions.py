"""Find the weights that the desired state asks for, and their origin."""

from dataclasses import replace

from banyanshore.core.values import dataclass
from banyanshore.weights.version_order import are_in_a_row

# Version of the weights that is served before a rollout names another one.
FIRST_VERSION = 1


@dataclass(frozen=True)
class DesiredVersion:
    """Version of a model that the targets of a service should serve.

    :param layers: number of layers of the model.
    :param chunk_bytes: size of each chunk.
    :param known_since: time since boot at which the version became known, ``-inf``
        for the first version.
    :param chunk_count: number of chunks, 0 if it isn't declared.
    """

    service: str
    model: str
    version: int
    layers: int
    chunk_bytes: int
    known_since: float
    chunk_count: int = 0

    @property
    def key(self):
        """Return the model and version, which identify the weights."""
        return self.model, self.version


def find_desired_versions(desired, versions):
    """Return the :class:`DesiredVersion` of each service, by service name.

    :param desired: the :class:`~banyanshore.state.DesiredState`, or ``None``.
    :param versions: the :class:`~banyanshore.routing.version_switch.VersionSwitch`.
    """
    desired_versions = {}
    services = desired.document["services"] if desired else {}
    for name, row in services.items():
        engine = row.get("engine") or {}
        if not engine.get("models") or not engine.get("chunk_bytes"):
            continue
        model = engine["models"][0]["name"]
        desired_versions[name] = DesiredVersion(
            name,
            model,
            max(FIRST_VERSION, versions.latest_version(model)),
            engine.get("layers", 0),
            engine["chunk_bytes"],
            versions.known_since(model),
            engine.get("chunk_count", 0),
        )
    return desired_versions


def find_carried_versions(desired, versions, switch_seconds):
    """Return the versions of each service that may be carried, by service name.

    :return: tuples of one or two :class:`DesiredVersion` objects: the latest version,
        and before it the one that was named so shortly before that it may be late.
    """
    carried = {}
    for name, latest in find_desired_versions(desired, versions).items():
        carried[name] = (latest,)
        before = versions.version_before(latest.model)
        if before is not None and before[0] > FIRST_VERSION:
            version, known_since = before
            if are_in_a_row(known_since, latest.known_since, switch_seconds):
                older = replace(latest, version=version, known_since=known_since)
                carried[name] = (older, latest)
    return carried


def find_origin(desired):
    """Return the service row of the weights origin, or ``None`` if none is declared."""
    services = desired.document["services"] if desired else {}
    return next((row for row in services.values() if row["kind"] == "origin"), None)
