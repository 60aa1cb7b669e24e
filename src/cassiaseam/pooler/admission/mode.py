"""Modes of admission that the settings choose between."""

import enum


class Admission(enum.Enum):
    """How statements are ordered, limited and refused before they are sent to a target.

    Attributes:
        FIXED: In order of arrival, on as many connections as the pool allows.
        ADAPTIVE: By priority and account, at the pace that each target allows.
    """

    FIXED = 'fixed'
    ADAPTIVE = 'adaptive'
