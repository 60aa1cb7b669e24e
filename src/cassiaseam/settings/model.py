"""Validated settings of one daemon.

After validation durations are in seconds and sizes in bytes.
"""

import enum
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, HttpUrl

from cassiaseam.settings.section import Name, Section
from cassiaseam.settings.units import DurationS, IpAddress, SizeBytes, SocketAddress

Port = Annotated[int, Field(ge=1, le=65535)]
ServiceName = Annotated[str, Field(pattern=r'^(\*|[A-Za-z0-9][A-Za-z0-9_.-]{0,62})$')]
ALL_DATABASES = '*'


class Role(enum.Enum):
    """Role of an API token; each role includes the permissions of the previous ones."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'
    ADMINISTRATOR = 'administrator'


class ListenSettings(Section):
    """Listening addresses of the daemon."""

    callers: SocketAddress
    peers: SocketAddress
    admin: SocketAddress


class UserSettings(Section):
    """Login of callers; an empty list of databases grants access to none."""

    name: Name
    password_file: Path
    databases: tuple[ServiceName, ...]


class TokenSettings(Section):
    """Bearer token of the administration API."""

    team: Name
    role: Role
    databases: tuple[ServiceName, ...] = (ALL_DATABASES,)
    token_file: Path


class CertificateSettings(Section):
    """PEM files of one listener.

    Attributes:
        certificate_file: Certificate chain.
        key_file: Private key of the certificate.
        authority_file: CA certificate that verifies the certificates of the other side; for
            `admin` those of the other daemons.
    """

    certificate_file: Path
    key_file: Path
    authority_file: Path | None = None


class PeerCertificateSettings(CertificateSettings):
    """PEM files for mutual TLS between daemons."""

    authority_file: Path


class TlsSettings(Section):
    """Certificates by listener; a listener without one uses plain TCP."""

    callers: CertificateSettings | None = None
    admin: CertificateSettings | None = None
    peers: PeerCertificateSettings | None = None


class LimitSettings(Section):
    """Resource limits of one daemon."""

    deadline: DurationS = 5.0
    max_deadline: DurationS = 60.0
    queue: Annotated[int, Field(ge=1, le=100_000)] = 256
    sessions: Annotated[int, Field(ge=1, le=1_000_000)] = 10_000
    statement_size: SizeBytes = 1 << 20
    response_size: SizeBytes = 16 << 20
    timeline_records: Annotated[int, Field(ge=16, le=1_000_000)] = 10_000
    drain: DurationS = 30.0


class LatencySettings(Section):
    """Expected one-way latencies and connection setup time, used for estimates in plans."""

    between_places: DurationS = 0.0015
    between_regions: DurationS = 0.008
    to_callers: DurationS = 0.003
    connection_open: DurationS = 0.012


class TargetSettings(Section):
    """Target in the static configuration."""

    name: Name
    host: IpAddress
    port: Port
    place: Name
    slots: Annotated[int, Field(ge=1, le=10_000)] = 5
    connections: Annotated[int, Field(ge=2, le=100_000)] = 75


class DatabaseSettings(Section):
    """Database in the static configuration."""

    targets: Annotated[tuple[TargetSettings, ...], Field(min_length=1, max_length=15)]
    max_age: dict[ServiceName, DurationS] = Field(default_factory=dict)
    queue_limit: Annotated[int, Field(ge=1, le=100_000)] | None = None
    drain_limit: DurationS = 30.0
    queue_discipline: Literal['separate', 'first_come'] = 'separate'
    owner: Name | None = None
    granted: tuple[Name, ...] = ()


class PlatformSettings(Section):
    """Access to the platform's object API."""

    url: HttpUrl
    timeout: DurationS = 2.0
    token_file: Path | None = None


class TargetLoginSettings(Section):
    """Credentials of the daemon for targets."""

    user: Name
    password_file: Path


class Settings(Section):
    """Settings of one daemon.

    Attributes:
        vm: Unique name of the VM.
        place: Data centre of the VM.
        region: Region of the place.
        advertise: IP address for other daemons; defaults to the listening address for peers.
        seeds: Peer addresses for discovery if the platform is down at startup.
        databases: Static databases; used only while the platform holds no configuration.
    """

    vm: Name
    place: Name
    region: Name
    listen: ListenSettings
    advertise: IpAddress | None = None
    platform: PlatformSettings
    seeds: tuple[SocketAddress, ...] = ()
    target_login: TargetLoginSettings | None = None
    users: tuple[UserSettings, ...] = ()
    tokens: tuple[TokenSettings, ...] = ()
    tls: TlsSettings = TlsSettings()
    limits: LimitSettings = LimitSettings()
    latency: LatencySettings = LatencySettings()
    log_level: Literal['debug', 'info', 'warning', 'error'] = 'info'
    databases: dict[Name, DatabaseSettings] = Field(default_factory=dict)
