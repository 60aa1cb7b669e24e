import datetime
import ipaddress
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import settings

# Uses the same examples on every run, and no deadline that depends on wall-clock time.
settings.register_profile('fixed', derandomize=True, deadline=None)
settings.load_profile('fixed')

FOLDER = Path(__file__).resolve().parent


def write_certificate(folder, name):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address('127.0.0.1'))]),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    (folder / 'admin.pem').write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    (folder / 'admin.key').write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return folder / 'admin.pem', folder / 'admin.key'


@pytest.fixture(scope='module')
def certificate_folder(tmp_path_factory):
    folder = tmp_path_factory.mktemp('certificates')
    write_certificate(folder, 'first')
    return folder


@pytest.fixture(scope='module')
def ports(certificate_folder):
    """Ports of the administration APIs, which run in a subprocess because of the reactor."""
    files = (str(certificate_folder / name) for name in ('admin.pem', 'admin.key'))
    command = [sys.executable, str(FOLDER / 'admin_server.py'), *files]
    path = os.pathsep.join([str(FOLDER.parents[1] / 'src'), str(FOLDER)])
    server = subprocess.Popen(
        command,
        env={**os.environ, 'PYTHONPATH': path},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        yield json.loads(server.stdout.readline())
    finally:
        server.stdin.close()
        server.wait(timeout=30)
