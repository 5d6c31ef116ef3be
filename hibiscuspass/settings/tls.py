"""TLS settings and contexts of listeners and clients."""

import ssl

import attrs

from hibiscuspass.settings import checks


@attrs.frozen
class TlsSettings:
    """Certificate and private key of a listener.

    Attributes:
      certificate: PEM file with the certificate chain.
      key: PEM file with the private key.
    """

    certificate: str = attrs.field(validator=checks.is_text())
    key: str = attrs.field(validator=checks.is_text())


def make_server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Returns the TLS context of a listener, or None for plain HTTP.

    Raises:
      OSError: A file can't be read or is not a valid PEM file.
    """
    if tls is None:
        return None
    ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    ctx.minimum_version = ssl.TLSVersion.TLSv1_2
    ctx.load_cert_chain(tls.certificate, tls.key)
    return ctx


def make_client_context(ca_file: str = "") -> ssl.SSLContext:
    """Returns the TLS context of a client.

    Args:
      ca_file: PEM file with trusted certificates; empty for those of the
        system.
    """
    return ssl.create_default_context(cafile=ca_file or None)
