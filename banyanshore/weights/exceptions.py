"""Errors of fetching weights."""

from banyanshore.core.exceptions import BanyanshoreError


class OriginError(BanyanshoreError):
    """Signal that the origin gave no usable answer."""
