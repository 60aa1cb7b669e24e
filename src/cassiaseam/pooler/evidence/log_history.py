"""What a target has reported of its log."""

from dataclasses import dataclass

from cassiaseam.positions import ZERO_POSITION, LogPosition


@dataclass(slots=True)
class LogHistory:
    """What a target reported of its log, over all incarnations that this VM knows.

    Attributes:
        term: Highest term that the target reported.
        last: Position in its latest report.
        answered_at: Time at which that arrived.
        lost_at: Time since which it lacks entries that it had reported, or None.
        catch_up: Position that it must reach before its statuses count again, or None while no
            majority of the other targets has been polled since the loss.
    """

    term: int = 0
    last: LogPosition = ZERO_POSITION
    answered_at: float = 0
    lost_at: float | None = None
    catch_up: LogPosition | None = None

    def forget_loss(self) -> None:
        """Record that the target holds what the others hold."""
        self.lost_at = None
        self.catch_up = None
