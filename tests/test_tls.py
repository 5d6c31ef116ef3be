"""Guards TLS against untrusted certificates and old protocol versions."""

import datetime
import ipaddress
import ssl

import aiohttp
from aiohttp import test_utils
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
import pytest

from hibiscuspass.settings import listen as listen_lib
from hibiscuspass.settings import tls
from hibiscuspass.telemetry import http
from tests import free_ports


@pytest.fixture
def files(tmp_path):
    """Writes a self-signed certificate for 127.0.0.1 and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "test")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    certificate_file = tmp_path / "certificate.pem"
    key_file = tmp_path / "key.pem"
    certificate_file.write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    key_file.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return tls.TlsSettings(str(certificate_file), str(key_file))


async def test_only_clients_that_trust_the_certificate_connect(files):
    port = free_ports.free_port()
    runner = await http.serve(
        http.make_app(lambda: True),
        listen_lib.ListenSettings("127.0.0.1", port, files),
    )
    url = f"https://127.0.0.1:{port}/readyz"
    try:
        async with aiohttp.ClientSession() as session:
            trusting = tls.make_client_context(files.certificate)
            async with session.get(url, ssl=trusting) as response:
                assert response.status == 200
            with pytest.raises(aiohttp.ClientConnectorCertificateError):
                await session.get(url, ssl=tls.make_client_context())
    finally:
        await runner.cleanup()


async def test_the_readiness_probe_fails_while_the_program_is_not_ready():
    server = test_utils.TestServer(http.make_app(lambda: False))
    async with test_utils.TestClient(server) as client:
        assert (await client.get("/readyz")).status == 503
        assert (await client.get("/healthz")).status == 200


def test_no_tls_settings_mean_plain_http():
    assert tls.make_server_context(None) is None


def test_old_protocol_versions_are_not_accepted(files):
    context = tls.make_server_context(files)
    assert context.minimum_version == ssl.TLSVersion.TLSv1_2
