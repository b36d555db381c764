"""Protection of Initial packets and of Retry (RFC 9001 sections 5.2 to 5.4 and 5.8; RFC 9369 section 3.3).

The keys are derived from the destination id of the client's first Initial, which anyone on the path can read. They
keep nothing secret, but let a relay read the ClientHello and send a CONNECTION_CLOSE that the client accepts.
"""

from __future__ import annotations

from enum import Enum

import msgspec
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives import hmac
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from cryptography.hazmat.primitives.ciphers.aead import AESGCM, ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDFExpand

from scaledeal.quic.wire.buffer import MalformedError
from scaledeal.quic.wire.packet import LONG_HEADER_BIT, V2, Packet, PacketType, encode_long_header

AEAD_TAG_BYTES = 16
HEADER_SAMPLE_BYTES = 16  # ciphertext that header protection samples (RFC 9001 section 5.4.2)


class _VersionConstants(msgspec.Struct, frozen=True):
    salt: bytes
    labels: tuple[bytes, bytes, bytes]  # for the AEAD key, the IV and the header protection key
    retry_key: bytes
    retry_nonce: bytes


_V1 = _VersionConstants(
    bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a"),
    (b"quic key", b"quic iv", b"quic hp"),
    bytes.fromhex("be0c690b9f66575a1d766b54e368c84e"),
    bytes.fromhex("461599d35d632bf2239825bb"),
)
_V2 = _VersionConstants(
    bytes.fromhex("0dede3def700a6db819381be6e269dcbf9bd2ed9"),
    (b"quicv2 key", b"quicv2 iv", b"quicv2 hp"),
    bytes.fromhex("8fb4b01b56ac48e260fbcbcead7ccc92"),
    bytes.fromhex("d86969bc2d7c6d9990efb04a"),
)


def _version_constants(version: int) -> _VersionConstants:
    return _V2 if version == V2 else _V1


def _extract(salt: bytes, secret: bytes) -> bytes:
    """Return HKDF-Extract of a secret (RFC 5869 section 2.2)."""
    mac = hmac.HMAC(salt, SHA256())
    mac.update(secret)
    return mac.finalize()


def _expand(secret: bytes, label: bytes, length: int) -> bytes:
    """Return HKDF-Expand-Label with an empty context (RFC 8446 section 7.1)."""
    full_label = b"tls13 " + label
    info = length.to_bytes(2, "big") + bytes((len(full_label),)) + full_label + b"\0"
    return HKDFExpand(SHA256(), length, info).derive(secret)


class Suite(Enum):
    """The cipher suite of packet protection; the values are key lengths in bytes.

    Initial packets always use AES-128; later packets may use ChaCha20 (RFC 9001 section 5.4.4).
    """

    AES_128 = 16
    CHACHA20 = 32


def _aes_mask(key: bytes, sample: bytes) -> bytes:
    # RFC 9001 section 5.4.3 specifies ECB mode on a single block.
    return Cipher(algorithms.AES(key), modes.ECB()).encryptor().update(sample)  # noqa: S305


def _chacha_mask(key: bytes, sample: bytes) -> bytes:
    # The sample is a little-endian block counter followed by the nonce; `cryptography` takes both as one argument.
    return Cipher(algorithms.ChaCha20(key, sample), None).encryptor().update(bytes(5))


class DirectionKeys:
    """Packet protection keys of one direction of a connection."""

    def __init__(self, secret: bytes, version: int, suite: Suite = Suite.AES_128) -> None:
        key_label, iv_label, hp_label = _version_constants(version).labels
        self.key, self.iv = _expand(secret, key_label, suite.value), _expand(secret, iv_label, 12)
        self.header_key = _expand(secret, hp_label, suite.value)
        self.aead = AESGCM(self.key) if suite is Suite.AES_128 else ChaCha20Poly1305(self.key)
        self.compute_header_mask = _aes_mask if suite is Suite.AES_128 else _chacha_mask

    def _nonce(self, number: int) -> bytes:
        return (int.from_bytes(self.iv, "big") ^ number).to_bytes(12, "big")

    def open(self, datagram: bytes, packet: Packet) -> tuple[int, bytes]:
        """Return a long-header packet's number and plain payload; raise MalformedError if authentication fails.

        The truncated packet number is used as it is: Initial packets are the first ones, so their numbers are small.
        """
        offset = packet.packet_number_offset
        sample = datagram[offset + 4 : offset + 4 + HEADER_SAMPLE_BYTES]
        if packet.end - offset < 4 + HEADER_SAMPLE_BYTES:
            raise MalformedError("too short for a sample")
        mask = self.compute_header_mask(self.header_key, sample)
        first = datagram[packet.start] ^ mask[0] & 0x0F
        length = (first & 3) + 1
        number_bytes = bytes(a ^ b for a, b in zip(datagram[offset : offset + length], mask[1:], strict=False))
        header = bytes((first,)) + datagram[packet.start + 1 : offset] + number_bytes
        number = int.from_bytes(number_bytes, "big")
        try:
            return number, self.aead.decrypt(self._nonce(number), datagram[offset + length : packet.end], header)
        except InvalidTag:
            raise MalformedError("does not open") from None

    def protect(self, header: bytes, number: int, payload: bytes) -> bytes:
        """Return a protected packet; `header` is plain and ends with the packet number (RFC 9001 section 5.4.1)."""
        length = (header[0] & 3) + 1
        sealed = self.aead.encrypt(self._nonce(number), payload, header)
        mask = self.compute_header_mask(self.header_key, sealed[4 - length : 4 - length + HEADER_SAMPLE_BYTES])
        first = header[0] ^ mask[0] & (0x0F if header[0] & LONG_HEADER_BIT else 0x1F)
        masked_number = bytes(a ^ b for a, b in zip(header[-length:], mask[1:], strict=False))
        return bytes((first,)) + header[1:-length] + masked_number + sealed

    def seal(self, header: bytes, number: int, payload: bytes) -> bytes:
        """Return a protected packet; `header` ends before the packet number, which is added in four bytes."""
        return self.protect(header + number.to_bytes(4, "big"), number, payload)


class InitialKeys:
    """The keys that protect a connection's Initial packets, for both directions."""

    def __init__(self, version: int, dcid: bytes) -> None:
        self.version = version
        secret = _extract(_version_constants(version).salt, dcid)
        self.client = DirectionKeys(_expand(secret, b"client in", 32), version)
        self.server = DirectionKeys(_expand(secret, b"server in", 32), version)


def encode_initial(
    keys: DirectionKeys, version: int, dcid: bytes, scid: bytes, number: int, payload: bytes, token: bytes = b""
) -> bytes:
    """Return a protected Initial packet; pads a payload to at least 4 bytes, as header protection needs a sample."""
    payload = payload.ljust(4, b"\0")
    header = encode_long_header(PacketType.INITIAL, version, dcid, scid, token, 4 + len(payload) + AEAD_TAG_BYTES)
    return keys.seal(header, number, payload)


def retry_integrity_tag(version: int, original_dcid: bytes, body: bytes) -> bytes:
    """Return the integrity tag of a Retry packet (RFC 9001 section 5.8)."""
    constants = _version_constants(version)
    pseudo_packet = bytes((len(original_dcid),)) + original_dcid + body
    return AESGCM(constants.retry_key).encrypt(constants.retry_nonce, b"", pseudo_packet)
