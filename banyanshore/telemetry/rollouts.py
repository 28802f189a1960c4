"""Log lines about the versions of models that rollouts name."""

import logging

logger = logging.getLogger(__name__)


def log_known_versions(known_versions):
    """Log each version that this process has learned of, and its age.

    :param known_versions: list of
        :class:`~banyanshore.routing.version_switch.KnownVersion`.
    """
    for known in known_versions:
        logger.info(
            "model version known",
            extra={
                "model": known.model,
                "model_version": known.version,
                "age": round(known.age, 2),
                "is_age_reported": known.is_age_reported,
            },
        )
