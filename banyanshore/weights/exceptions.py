"""Exceptions raised while fetching weights."""

from banyanshore.core.exceptions import BanyanshoreError


class OriginError(BanyanshoreError):
    """Signal that the origin returned no usable response."""
