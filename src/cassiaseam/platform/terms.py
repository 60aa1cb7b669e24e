"""Translates the words with which the platform asks for behaviour into settings."""

from cassiaseam.pooler.admission.mode import Admission

# Word that asks for adaptive admission.
ADAPTIVE_ADMISSION_TERM = 'pool'


def find_admission(terms: tuple[str, ...]) -> Admission:
    """Return the mode of admission that the terms of the platform ask for."""
    return Admission.ADAPTIVE if ADAPTIVE_ADMISSION_TERM in terms else Admission.FIXED
