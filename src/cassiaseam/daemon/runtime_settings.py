"""Converts the settings of the daemon to those of the runtime."""

from cassiaseam.daemon.administration import AdministrationSettings
from cassiaseam.daemon.runtime import RuntimeSettings
from cassiaseam.daemon.target_service import TargetCredentials
from cassiaseam.daemon.tls_contexts import PeerCertificates
from cassiaseam.entry.identity import CallerLogin, hash_password
from cassiaseam.entry.listener import ListenerLimits
from cassiaseam.entry.statements import DeadlineLimits
from cassiaseam.peers.services import PeerSettings
from cassiaseam.settings.loader import Secrets, build_database_configs
from cassiaseam.settings.model import Settings


def build_runtime_settings(settings: Settings, secrets: Secrets) -> RuntimeSettings:
    """Return the settings of the runtime.

    Raises:
        OSError: A certificate file is not valid.
    """
    login = settings.target_login
    peer_files = settings.tls.peers
    certificates = PeerCertificates(peer_files) if peer_files else None
    limits = settings.limits
    listen = settings.listen
    return RuntimeSettings(
        callers=(listen.callers.host, listen.callers.port),
        peers=PeerSettings(
            vm=settings.vm,
            place=settings.place,
            host=listen.peers.host,
            peer_port=listen.peers.port,
            platform_url=str(settings.platform.url).rstrip('/'),
            admin_port=listen.admin.port,
            platform_token=secrets.platform_token,
            tls=certificates.contexts if certificates else None,
            seeds=tuple((seed.host, seed.port) for seed in settings.seeds),
        ),
        credentials=TargetCredentials(login.user if login else '', secrets.target_password),
        logins=tuple(
            CallerLogin(user.name, hash_password(secrets.passwords[user.name]), user.databases)
            for user in settings.users
        ),
        databases=build_database_configs(settings),
        limits=ListenerLimits(
            sessions=limits.sessions,
            statement_bytes=limits.statement_size,
            deadlines=DeadlineLimits(limits.deadline, limits.max_deadline),
        ),
        shutdown_timeout_s=limits.drain,
        timeline_records=limits.timeline_records,
        peer_certificates=certificates,
        administration=AdministrationSettings(settings, secrets),
    )
