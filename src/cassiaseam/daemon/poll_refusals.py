"""Log lines when a target begins to refuse status polls and when it stops."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.observability.logs import log_event

# The kinds of `adapter.build_operation_error` for an answer of the target itself; without an
# answer the group role reports the failure.
REFUSAL_KINDS = frozenset((ErrorKind.STATEMENT_FAILED, ErrorKind.OVERLOADED))
TargetKey = tuple[str, str]


class PollRefusals:
    """Remembers which targets refuse status polls, to log changes instead of polls.

    Attributes:
        refusing: Database and name of the targets that refuse.
    """

    def __init__(self) -> None:
        self.refusing: set[TargetKey] = set()

    def note_poll(self, key: TargetKey, error: RequestError | None) -> None:
        """Log when polls of a target begin to be refused, and when they work again.

        Args:
            key: Database and name of the target.
            error: Error of the poll, or None when it succeeded. One without an answer of the
                target changes nothing.
        """
        if error is None:
            if key in self.refusing:
                self.refusing.remove(key)
                log_event('target_poll_works_again', database=key[0], target=key[1])
        elif error.kind in REFUSAL_KINDS and key not in self.refusing:
            self.refusing.add(key)
            log_event(
                'target_poll_refused',
                level='warning',
                database=key[0],
                target=key[1],
                code=error.mysql_code,
                message=error.message,
            )

    def forget_target(self, key: TargetKey) -> None:
        """Drop what is known of a target that is no longer polled."""
        self.refusing.discard(key)
