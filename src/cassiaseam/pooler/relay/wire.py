"""Messages that open the connection between two VMs, ahead of the bytes of a session.

The relaying VM sends `RELAY group version`, with the version of the configuration that it has in
force. The peer answers `RELAY OK`, and the bytes of the session follow in both directions, or
`RELAY NO cause`, and closes the connection. Lines end in CR LF.
"""

LINE_END = b'\r\n'
# Limit of the length of these lines in bytes.
MAX_LINE_BYTES = 512
MAX_VERSION_DIGITS = 20
ENCODING = 'latin-1'
_WORD = 'RELAY'


def encode_request(group: str, version: int) -> bytes:
    """Return the request to relay a session of a group."""
    return f'{_WORD} {group} {version}\r\n'.encode(ENCODING)


def decode_request(line: bytes) -> tuple[str, int] | None:
    """Return the group and the version in a request, or None if it is malformed."""
    words = line.decode(ENCODING).split(' ')
    if len(words) != 3 or words[0] != _WORD or not words[1]:
        return None
    digits = words[2]
    if not (digits.isascii() and digits.isdecimal()) or len(digits) > MAX_VERSION_DIGITS:
        return None
    return words[1], int(digits)


def encode_response(cause: str) -> bytes:
    """Return the response to a request; `cause` is '' if the session is accepted."""
    text = f'NO {cause}' if cause else 'OK'
    return f'{_WORD} {text}\r\n'.encode(ENCODING)


def decode_response(line: bytes) -> str:
    """Return why a session is refused, or '' if it is accepted."""
    text = line.decode(ENCODING)
    if text == f'{_WORD} OK':
        return ''
    prefix = f'{_WORD} NO '
    return text[len(prefix) :] if text.startswith(prefix) and text != prefix else 'malformed'
