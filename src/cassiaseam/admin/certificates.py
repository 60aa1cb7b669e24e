"""TLS contexts that reload replaced certificate files without a restart."""

from pathlib import Path

from OpenSSL import SSL
from twisted.internet.interfaces import IOpenSSLServerConnectionCreator
from twisted.internet.ssl import CertificateOptions
from zope.interface import implementer

from cassiaseam.observability.logs import log_event
from cassiaseam.settings.model import CertificateSettings

FileState = tuple[tuple[int, int], ...]


@implementer(IOpenSSLServerConnectionCreator)
class ReloadingCertificates:
    """Creates TLS connections with the current content of the certificate files.

    Attributes:
        settings: Paths of the PEM files.
        context: Current TLS context.
        file_state: Modification times and sizes of the files when `context` was built.
    """

    def __init__(self, settings: CertificateSettings):
        self.settings = settings
        self.file_state = self.read_file_state()
        self.context = build_context(settings)

    def serverConnectionForTLS(self, tlsProtocol: object) -> SSL.Connection:  # noqa: N802, N803
        """Return a TLS connection; called by Twisted for every new client."""
        self.reload_if_changed()
        return SSL.Connection(self.context, None)

    def reload_if_changed(self) -> bool:
        """Reload changed files; keeps the current context if they are invalid or incomplete."""
        try:
            file_state = self.read_file_state()
            if file_state == self.file_state:
                return False
            self.context = build_context(self.settings)
        except (OSError, SSL.Error, ValueError) as error:
            file = self.settings.certificate_file
            log_event('certificate_kept', level='error', file=file, cause=type(error).__name__)
            return False
        self.file_state = file_state
        log_event('certificate_reloaded', file=self.settings.certificate_file)
        return True

    def read_file_state(self) -> FileState:
        """Return modification times and sizes, which change when the files are replaced."""
        stats = (
            Path(self.settings.certificate_file).stat(),
            Path(self.settings.key_file).stat(),
        )
        return tuple((stat.st_mtime_ns, stat.st_size) for stat in stats)


def build_context(settings: CertificateSettings) -> SSL.Context:
    """Build a TLS server context.

    Raises:
        SSL.Error: A file is malformed, or the key does not match the certificate.
    """
    context = CertificateOptions().getContext()
    context.use_certificate_chain_file(str(settings.certificate_file))
    context.use_privatekey_file(str(settings.key_file))
    context.check_privatekey()
    return context
