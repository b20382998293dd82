"""Mutual challenge and response at the start of each connection.

The client sends a nonce; the server answers with its own nonce and a proof;
the client checks it and sends its proof, followed at once by the first
message. The client thus waits for one round trip only, and writes no message
to a server without the key. A proof is an HMAC-SHA256 with the deployment
key over the side's role and both nonces; the role keeps a proof from being
sent back to its author.
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


def _prove(key: bytes, role: bytes, nonces: bytes) -> bytes:
    return hmac.digest(key, _MAGIC + role + nonces, hashlib.sha256)


def _refuse(detail: str) -> Result[None, errors.Error]:
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
    """Runs the client's side; Failure if the server lacks the key.

    Raises:
        framing.ConnectionFailed: The server went away or is too slow.
    """
    nonce = os.urandom(_NONCE_BYTES)
    connection.write(_MAGIC + nonce, deadline)
    answer = connection.read(_NONCE_BYTES + _PROOF_BYTES, deadline)
    nonces = nonce + answer[:_NONCE_BYTES]
    expected = _prove(key, _SERVER, nonces)
    if not hmac.compare_digest(answer[_NONCE_BYTES:], expected):
        return _refuse("the server has another key")
    connection.write(_prove(key, _CLIENT, nonces), deadline)
    return Success(None)


def authenticate_client(
    connection: framing.Connection, key: bytes, deadline: framing.Deadline
) -> Result[None, errors.Error]:
    """Runs the server's side; Failure if the client lacks the key.

    Raises:
        framing.ConnectionFailed: The client went away or is too slow.
    """
    opening = connection.read(len(_MAGIC) + _NONCE_BYTES, deadline)
    if not opening.startswith(_MAGIC):
        return _refuse("the client speaks another protocol")
    own = os.urandom(_NONCE_BYTES)
    nonces = opening[len(_MAGIC) :] + own
    connection.write(own + _prove(key, _SERVER, nonces), deadline)
    proof = connection.read(_PROOF_BYTES, deadline)
    if not hmac.compare_digest(proof, _prove(key, _CLIENT, nonces)):
        return _refuse("the client has another key")
    return Success(None)
