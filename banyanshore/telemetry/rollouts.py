"""Log lines about the versions of models that rollouts name."""

import logging

logger = logging.getLogger(__name__)

# Corrections of fewer seconds are the usual delays of messages and aren't logged.
LOGGED_CORRECTION_SECONDS = 0.1


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


def log_corrected_ages(corrected_ages):
    """Log each version that became known earlier than this process had counted from.

    :param corrected_ages: list of
        :class:`~banyanshore.routing.version_switch.CorrectedAge`.
    """
    for corrected in corrected_ages:
        if corrected.earlier_by < LOGGED_CORRECTION_SECONDS:
            continue
        logger.info(
            "model version age corrected",
            extra={
                "model": corrected.model,
                "model_version": corrected.version,
                "age": round(corrected.age, 2),
                "earlier_by": round(corrected.earlier_by, 2),
            },
        )
