"""Exceptions raised while fetching weights."""

from banyanshore.core.exceptions import BanyanshoreError


class OriginError(BanyanshoreError):
    """Signal that the origin returned no usable response."""


class OriginAwayError(OriginError):
    """Signal that the origin can't be connected to, whatever it is asked for."""
