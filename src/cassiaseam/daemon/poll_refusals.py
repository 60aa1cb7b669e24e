"""Logs when a target starts and stops refusing status polls."""

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.observability.logs import log_event

# Kinds that `adapter.build_operation_error` returns when the target itself answers with an error;
# the group role reports targets that do not answer.
REFUSAL_KINDS = frozenset((ErrorKind.STATEMENT_FAILED, ErrorKind.OVERLOADED))
TargetKey = tuple[str, str]


class PollRefusals:
    """Tracks which targets refuse status polls, to log changes instead of every poll.

    Attributes:
        refusing_targets: Database and name of each target that refuses polls.
    """

    def __init__(self) -> None:
        self.refusing_targets: set[TargetKey] = set()

    def record_poll_result(self, key: TargetKey, error: RequestError | None) -> None:
        """Log when a target starts to refuse polls, and when polls succeed again.

        Args:
            key: Database and name of the target.
            error: Error of the poll, or None when it succeeded. Errors without an answer of the
                target are ignored.
        """
        if error is None:
            if key in self.refusing_targets:
                self.refusing_targets.remove(key)
                log_event('target_poll_works_again', database=key[0], target=key[1])
        elif error.kind in REFUSAL_KINDS and key not in self.refusing_targets:
            self.refusing_targets.add(key)
            log_event(
                'target_poll_refused',
                level='warning',
                database=key[0],
                target=key[1],
                code=error.mysql_code,
                message=error.message,
            )

    def remove_target(self, key: TargetKey) -> None:
        """Remove a target that is no longer polled."""
        self.refusing_targets.discard(key)
