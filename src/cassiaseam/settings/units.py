"""Parsing of durations, sizes and addresses in settings files."""

import ipaddress
import re
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import BeforeValidator

DURATION_FORM = 'a duration with a unit such as 200ms, 5s, 2m or 1h'
SIZE_FORM = 'a size with a unit such as 512B, 64KiB or 1MiB'
ADDRESS_FORM = 'an IP number and a port such as 10.0.0.1:3306 or [::1]:3306'
IP_FORM = 'an IP number such as 10.0.0.1 or ::1'
MAX_PORT = 65535

_DURATION = re.compile(r'(\d{1,9}(?:\.\d{1,9})?)(us|ms|s|m|h)', re.ASCII)
_SIZE = re.compile(r'(\d{1,12})(B|KiB|MiB|GiB)', re.ASCII)
_ADDRESS = re.compile(r'(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})', re.ASCII)
_SECONDS = {'us': 1e-6, 'ms': 1e-3, 's': 1, 'm': 60, 'h': 3600}
_BYTES = {'B': 1, 'KiB': 1 << 10, 'MiB': 1 << 20, 'GiB': 1 << 30}


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a socket.

    Attributes:
        host: IP address.
        port: Port; 0 selects a free port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the notation of settings files."""
        return f'[{self.host}]:{self.port}' if ':' in self.host else f'{self.host}:{self.port}'


def parse_duration_s(text: Any) -> float:
    """Parse a duration and return it in seconds.

    Raises:
        ValueError: The value is not a number with a unit.
    """
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(DURATION_FORM)
    return float(match.group(1)) * _SECONDS[match.group(2)]


def parse_size_bytes(text: Any) -> int:
    """Parse a size and return it in bytes.

    Raises:
        ValueError: The value is not a number with a unit.
    """
    match = _SIZE.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(SIZE_FORM)
    return int(match.group(1)) * _BYTES[match.group(2)]


def parse_ip(text: Any) -> str:
    """Parse an IP address and return it in canonical form.

    Raises:
        ValueError: The value is a host name or malformed.
    """
    if not isinstance(text, str):
        raise ValueError(IP_FORM)
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueError(IP_FORM) from None


def parse_address(text: Any) -> Address:
    """Parse an IP address with a port.

    Raises:
        ValueError: The value is not an IP address with a port.
    """
    if isinstance(text, Address):
        return text
    match = _ADDRESS.fullmatch(text) if isinstance(text, str) else None
    if match is None or int(match.group(3)) > MAX_PORT:
        raise ValueError(ADDRESS_FORM)
    try:
        host = parse_ip(match.group(1) or match.group(2))
    except ValueError:
        raise ValueError(ADDRESS_FORM) from None
    return Address(host, int(match.group(3)))


def format_duration(seconds: float) -> str:
    """Format a duration in a readable unit."""
    if seconds < 1:
        return f'{seconds * 1000:g}ms'
    if seconds < 120:
        return f'{seconds:g}s'
    return f'{seconds / 60:g}m'


DurationS = Annotated[float, BeforeValidator(parse_duration_s)]
SizeBytes = Annotated[int, BeforeValidator(parse_size_bytes)]
IpAddress = Annotated[str, BeforeValidator(parse_ip)]
SocketAddress = Annotated[Address, BeforeValidator(parse_address)]
