"""Mutual challenge-response authentication at the start of each connection.

The client sends a nonce. The server answers with its own nonce and a proof.
The client verifies the proof and sends its own, followed immediately by the
first message. The client therefore waits for only one round trip, and sends no
message to a server without the key. A proof is an HMAC-SHA256 with the
deployment key over the role of the sender and both nonces; the role prevents
an attacker from reflecting a proof to its sender.
"""

import hashlib
import hmac
import os

from returns.result import Failure, Result, Success

from gypsumhold.adapters import framing
from gypsumhold.model import errors

_MAGIC = b"GYP1"
_NONCE_BYTES = 32
_PROOF_BYTES = 32
_CLIENT = b"client"
_SERVER = b"server"


def _build_proof(key: bytes, role: bytes, nonces: bytes) -> bytes:
    return hmac.digest(key, _MAGIC + role + nonces, hashlib.sha256)


def _build_failure(detail: str) -> Result[None, errors.Error]:
    return Failure(
        errors.Error(
            errors.ErrorKind.PEER_REFUSED,
            f"handshake failed: {detail}",
            "give every process of the deployment the same key",
        )
    )


def authenticate_server(
    connection: framing.Connection, key: bytes, deadline: framing.Deadline
) -> Result[None, errors.Error]:
    """Runs the handshake as the client, which verifies the server.

    Returns:
        Success, or an error if the server does not have the key.

    Raises:
        framing.ConnectionFailedError: The connection was closed or timed out.
    """
    nonce = os.urandom(_NONCE_BYTES)
    connection.write(_MAGIC + nonce, deadline)
    answer = connection.read(_NONCE_BYTES + _PROOF_BYTES, deadline)
    nonces = nonce + answer[:_NONCE_BYTES]
    expected = _build_proof(key, _SERVER, nonces)
    if not hmac.compare_digest(answer[_NONCE_BYTES:], expected):
        return _build_failure("the server has another key")
    connection.write(_build_proof(key, _CLIENT, nonces), deadline)
    return Success(None)


def authenticate_client(
    connection: framing.Connection, key: bytes, deadline: framing.Deadline
) -> Result[None, errors.Error]:
    """Runs the handshake as the server, which verifies the client.

    Returns:
        Success, or an error if the client uses another protocol or does not
        have the key.

    Raises:
        framing.ConnectionFailedError: The connection was closed or timed out.
    """
    opening = connection.read(len(_MAGIC) + _NONCE_BYTES, deadline)
    if not opening.startswith(_MAGIC):
        return _build_failure("the client uses another protocol")
    server_nonce = os.urandom(_NONCE_BYTES)
    nonces = opening[len(_MAGIC) :] + server_nonce
    connection.write(
        server_nonce + _build_proof(key, _SERVER, nonces), deadline
    )
    proof = connection.read(_PROOF_BYTES, deadline)
    if not hmac.compare_digest(proof, _build_proof(key, _CLIENT, nonces)):
        return _build_failure("the client has another key")
    return Success(None)
