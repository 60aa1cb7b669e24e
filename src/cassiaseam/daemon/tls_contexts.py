"""TLS contexts from the certificate files of the settings."""

import asyncio
import ssl
from pathlib import Path

from cassiaseam.observability.logs import log_event
from cassiaseam.peers.link_table import TlsContexts
from cassiaseam.settings.model import PeerCertificateSettings

FILE_CHECK_INTERVAL_S = 10.0
FileState = tuple[tuple[int, int], ...]


def build_peer_contexts(files: PeerCertificateSettings) -> TlsContexts:
    """Return the contexts for connections between daemons, with mutual authentication.

    Host names are not checked, because daemons are addressed by IP address; a certificate signed
    by the common authority identifies a daemon.

    Raises:
        OSError: A file is not a valid certificate or key.
    """
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.verify_mode = ssl.CERT_REQUIRED
        load_files(context, files)
    return TlsContexts(server, client)


def load_files(context: ssl.SSLContext, files: PeerCertificateSettings) -> None:
    """Load certificate, key and authority; raises `OSError` when a file is not valid."""
    context.load_cert_chain(files.certificate_file, files.key_file)
    context.load_verify_locations(files.authority_file)


class PeerCertificates:
    """TLS contexts that reload their certificates when the files change.

    The listener keeps its context object, so files are loaded into the contexts in use. OpenSSL
    holds one certificate per key type and never removes an authority: switching to another key
    type, or revoking trust in an authority, requires a restart.

    Attributes:
        files: Names of the PEM files.
        contexts: Contexts of the listener and of outgoing connections.
        file_state: Modification times and sizes of the files that were loaded last.
    """

    def __init__(self, files: PeerCertificateSettings):
        self.files = files
        self.file_state = self.read_file_state()
        self.contexts = build_peer_contexts(files)

    def reload_if_changed(self) -> bool:
        """Load changed files; keep the current certificate when they are not valid."""
        file = self.files.certificate_file
        try:
            file_state = self.read_file_state()
            if file_state == self.file_state:
                return False
            # Validate the files first: a failure while loading the contexts in use would leave
            # them inconsistent.
            build_peer_contexts(self.files)
            load_files(self.contexts.server, self.files)
            load_files(self.contexts.client, self.files)
        except OSError as error:
            log_event('certificate_kept', level='error', file=file, cause=type(error).__name__)
            return False
        self.file_state = file_state
        log_event('certificate_reloaded', file=file)
        return True

    def read_file_state(self) -> FileState:
        """Return the modification times and sizes of the files."""
        names = (self.files.certificate_file, self.files.key_file, self.files.authority_file)
        stats = [Path(name).stat() for name in names]
        return tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)

    async def watch_files(self) -> None:
        """Check for changed files periodically; never returns."""
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            self.reload_if_changed()
