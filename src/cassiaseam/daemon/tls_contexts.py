"""TLS contexts from the certificate files of the settings."""

import ssl

from cassiaseam.peers.link_table import TlsContexts
from cassiaseam.settings.model import PeerCertificateSettings


def build_peer_contexts(files: PeerCertificateSettings) -> TlsContexts:
    """Return the contexts for connections between daemons, which check each other.

    Host names are not checked, because daemons are addressed by IP number; a certificate of the
    common authority identifies a daemon.

    Raises:
        OSError: A file is not a valid certificate or key.
    """
    server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    for context in (server, client):
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(files.certificate_file, files.key_file)
        context.load_verify_locations(files.authority_file)
    return TlsContexts(server, client)
