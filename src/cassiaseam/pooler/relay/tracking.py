"""Tracks whether a relayed session has a statement without a complete answer.

Only the beginning of each line is looked at. Every line of a caller counts, also a malformed one,
because every line except BYE is answered by a READY line. A line that is never answered keeps the
session outstanding, which only delays its close.
"""

# Bytes at the beginning of a line that tell a READY line and its state.
_HEAD_BYTES = 7
_SESSION_END = b'BYE\r'
_READY = b'READY '
_READY_IDLE = b'READY I'


class LineScanner:
    """Splits a stream of bytes into lines and keeps only the beginning of each.

    Attributes:
        head: Beginning of the incomplete line.
    """

    def __init__(self) -> None:
        self.head = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Return the first bytes of each line that is complete now."""
        *complete, rest = data.split(b'\n')
        heads = []
        for part in complete:
            heads.append((self.head + part[:_HEAD_BYTES])[:_HEAD_BYTES])
            self.head = b''
        self.head = (self.head + rest[:_HEAD_BYTES])[:_HEAD_BYTES]
        return heads


class StatementTracker:
    """Counts the messages of a caller and the READY lines that answer them.

    Attributes:
        unanswered: Messages of the caller without a complete answer.
        in_transaction: Whether the latest answer reported a state other than idle.
    """

    def __init__(self) -> None:
        self.caller = LineScanner()
        self.peer = LineScanner()
        self.unanswered = 0
        self.in_transaction = False

    def count_from_caller(self, data: bytes) -> None:
        """Count the messages in bytes of the caller."""
        self.unanswered += sum(head != _SESSION_END for head in self.caller.feed(data))

    def count_from_peer(self, data: bytes) -> None:
        """Count the READY lines in bytes of the peer."""
        for head in self.peer.feed(data):
            if head.startswith(_READY):
                self.unanswered = max(self.unanswered - 1, 0)
                self.in_transaction = head != _READY_IDLE

    def is_outstanding(self) -> bool:
        """Return whether a message or an answer is incomplete."""
        return self.unanswered > 0 or bool(self.caller.head) or bool(self.peer.head)
