"""Protection of Initial packets and of Retry (RFC 9001 sections 5.2 to 5.4 and 5.8; RFC 9369 section 3.3).

The keys follow from the client's first destination id, which everybody on the path can read: this is no secret, but
it lets a relay read the ClientHello and write a CONNECTION_CLOSE that the client takes.
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
from scaledeal.quic.wire.packet import LONG, V2, Kind, Packet, long_header

TAG = 16  # bytes of an AEAD tag
SAMPLE = 16  # bytes that header protection samples


class _Version(msgspec.Struct, frozen=True):
    salt: bytes
    labels: tuple[bytes, bytes, bytes]  # of the key, the IV and the header protection
    retry_key: bytes
    retry_nonce: bytes


_V1 = _Version(
    bytes.fromhex("38762cf7f55934b34d179ae6a4c80cadccbb7f0a"),
    (b"quic key", b"quic iv", b"quic hp"),
    bytes.fromhex("be0c690b9f66575a1d766b54e368c84e"),
    bytes.fromhex("461599d35d632bf2239825bb"),
)
_V2 = _Version(
    bytes.fromhex("0dede3def700a6db819381be6e269dcbf9bd2ed9"),
    (b"quicv2 key", b"quicv2 iv", b"quicv2 hp"),
    bytes.fromhex("8fb4b01b56ac48e260fbcbcead7ccc92"),
    bytes.fromhex("d86969bc2d7c6d9990efb04a"),
)


def _version(version: int) -> _Version:
    return _V2 if version == V2 else _V1


def _extract(salt: bytes, secret: bytes) -> bytes:
    mac = hmac.HMAC(salt, SHA256())
    mac.update(secret)
    return mac.finalize()


def _expand(secret: bytes, label: bytes, length: int) -> bytes:
    """HKDF-Expand-Label with an empty context (RFC 8446 section 7.1)."""
    full = b"tls13 " + label
    info = length.to_bytes(2, "big") + bytes((len(full),)) + full + b"\0"
    return HKDFExpand(SHA256(), length, info).derive(secret)


class Suite(Enum):
    """How packets are protected: Initials always by AES; what follows may be by ChaCha20 (RFC 9001 section 5.4.4)."""

    AES_128 = 16  # bytes of its key
    CHACHA20 = 32


def _aes_mask(key: bytes, sample: bytes) -> bytes:
    # Electronic codebook on one block is what RFC 9001 section 5.4.3 asks for.
    return Cipher(algorithms.AES(key), modes.ECB()).encryptor().update(sample)  # noqa: S305


def _chacha_mask(key: bytes, sample: bytes) -> bytes:
    # The sample is the block counter, little endian, and the nonce; cryptography takes both as one.
    return Cipher(algorithms.ChaCha20(key, sample), None).encryptor().update(bytes(5))


class Keys:
    """The keys of one direction."""

    def __init__(self, secret: bytes, version: int, suite: Suite = Suite.AES_128) -> None:
        key, iv, hp = _version(version).labels
        self.key, self.iv = _expand(secret, key, suite.value), _expand(secret, iv, 12)
        self.hp = _expand(secret, hp, suite.value)
        self.aead = AESGCM(self.key) if suite is Suite.AES_128 else ChaCha20Poly1305(self.key)
        self.mask = _aes_mask if suite is Suite.AES_128 else _chacha_mask

    def _nonce(self, number: int) -> bytes:
        return (int.from_bytes(self.iv, "big") ^ number).to_bytes(12, "big")

    def open(self, datagram: bytes, packet: Packet) -> tuple[int, bytes]:
        """Return a long-header packet's number and plain payload; raise MalformedError where these keys don't open it.

        A number is taken as it is written: Initial packets are the first, and theirs are small.
        """
        at = packet.number_at
        sample = datagram[at + 4 : at + 4 + SAMPLE]
        if packet.end - at < 4 + SAMPLE:
            raise MalformedError("too short for a sample")
        mask = self.mask(self.hp, sample)
        first = datagram[packet.start] ^ mask[0] & 0x0F
        length = (first & 3) + 1
        told = bytes(a ^ b for a, b in zip(datagram[at : at + length], mask[1:], strict=False))
        header = bytes((first,)) + datagram[packet.start + 1 : at] + told
        number = int.from_bytes(told, "big")
        try:
            return number, self.aead.decrypt(self._nonce(number), datagram[at + length : packet.end], header)
        except InvalidTag:
            raise MalformedError("does not open") from None

    def protect(self, header: bytes, number: int, payload: bytes) -> bytes:
        """Return a packet from its whole plain header, which ends with the packet number (section 5.4.1)."""
        length = (header[0] & 3) + 1
        sealed = self.aead.encrypt(self._nonce(number), payload, header)
        mask = self.mask(self.hp, sealed[4 - length : 4 - length + SAMPLE])
        first = header[0] ^ mask[0] & (0x0F if header[0] & LONG else 0x1F)
        covered = bytes(a ^ b for a, b in zip(header[-length:], mask[1:], strict=False))
        return bytes((first,)) + header[1:-length] + covered + sealed

    def seal(self, header: bytes, number: int, payload: bytes) -> bytes:
        """Return a packet from a header that ends before its number of four bytes."""
        return self.protect(header + number.to_bytes(4, "big"), number, payload)


class InitialKeys:
    """Both directions' keys of the Initial packets of one connection."""

    def __init__(self, version: int, dcid: bytes) -> None:
        self.version = version
        secret = _extract(_version(version).salt, dcid)
        self.client = Keys(_expand(secret, b"client in", 32), version)
        self.server = Keys(_expand(secret, b"server in", 32), version)


def initial(
    keys: Keys, version: int, dcid: bytes, scid: bytes, number: int, payload: bytes, token: bytes = b""
) -> bytes:
    """Return a whole Initial packet; short payloads are padded so that there is a sample."""
    payload = payload.ljust(4, b"\0")
    header = long_header(Kind.INITIAL, version, dcid, scid, token, 4 + len(payload) + TAG)
    return keys.seal(header, number, payload)


def retry_tag(version: int, original_dcid: bytes, body: bytes) -> bytes:
    """Return the integrity tag of a Retry packet (RFC 9001 section 5.8)."""
    about = _version(version)
    pseudo = bytes((len(original_dcid),)) + original_dcid + body
    return AESGCM(about.retry_key).encrypt(about.retry_nonce, b"", pseudo)
