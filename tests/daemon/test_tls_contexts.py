import datetime
import os
import ssl

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from cassiaseam.daemon.tls_contexts import PeerCertificates
from cassiaseam.settings.model import PeerCertificateSettings


def write_certificate(folder, name):
    """Write a self-signed certificate and return its DER encoding."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder(subject, subject, key.public_key(), x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    encoded = certificate.public_bytes(serialization.Encoding.PEM)
    pkcs8, plain = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    (folder / 'peer.key').write_bytes(key.private_bytes(serialization.Encoding.PEM, pkcs8, plain))
    (folder / 'peer.pem').write_bytes(encoded)
    (folder / 'ca.pem').write_bytes(encoded)
    for file in folder.iterdir():
        os.utime(file, ns=(len(name), len(name)))
    return certificate.public_bytes(serialization.Encoding.DER)


def read_served_certificate(contexts):
    """Run a TLS handshake in memory and return the certificate that the client receives."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = contexts.client.wrap_bio(to_client, to_server)
    server = contexts.server.wrap_bio(to_server, to_client, server_side=True)
    for _ in range(4):
        for side in (client, server):
            try:
                side.do_handshake()
            except ssl.SSLWantReadError:
                continue
    return client.getpeercert(binary_form=True)


@pytest.mark.parametrize('broken', [None, 'peer.pem', 'peer.key', 'ca.pem'])
def test_replaced_peer_certificate_is_served_and_a_broken_one_is_not(tmp_path, broken):
    first = write_certificate(tmp_path, 'first')
    files = PeerCertificateSettings(
        certificate_file=tmp_path / 'peer.pem',
        key_file=tmp_path / 'peer.key',
        authority_file=tmp_path / 'ca.pem',
    )
    certificates = PeerCertificates(files)
    assert read_served_certificate(certificates.contexts) == first
    assert not certificates.reload_if_changed()
    second = write_certificate(tmp_path, 'second')
    if broken:
        (tmp_path / broken).write_text('half a file')
    assert certificates.reload_if_changed() is (broken is None)
    assert read_served_certificate(certificates.contexts) == (first if broken else second)
