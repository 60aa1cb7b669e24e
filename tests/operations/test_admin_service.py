"""Tests of the complete service over TLS with requests to other daemons."""

import json
import ssl
import urllib.request


def read_status(port, certificate):
    context = ssl.create_default_context(cafile=str(certificate))
    request = urllib.request.Request(
        f'https://127.0.0.1:{port}/v1/status?scope=all',
        headers={'Authorization': 'Bearer administrator'},
    )
    with urllib.request.urlopen(request, timeout=20, context=context) as response:
        return json.loads(response.read())


def test_daemons_query_each_other_only_over_tls_with_a_trusted_certificate(
    ports, certificate_folder
):
    seen = read_status(ports['service'], certificate_folder / 'admin.pem')
    assert sorted(seen['vms']) == ['vm-asked', 'vm-tls']
    assert list(seen['unreachable']) == ['vm-plain']
    assert seen['vms']['vm-tls']['configuration'] == {'shards': {}, 'databases': 0}
