"""Parsing of callers' requests from their WSGI environment."""

from hashlib import sha256

from sesamehall.codecs.jsonfields import decode_object
from sesamehall.core.codes import DecodeError
from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import SesamehallError
from sesamehall.core.codes import TOO_LARGE
from sesamehall.core.data import Job
from sesamehall.core.data import PresentedKey

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
ENTRY_HEADERS = frozenset(("authorization", "content-length", "expect"))
JOB_BODY_LIMIT_BYTES = 64 << 10


class BadRequest(SesamehallError):
    """A request that is rejected before it reaches the interpreter.

    Attributes:
      code: The result code.
      detail: Human-readable description of the problem.
    """

    def __init__(self, code: ResultCode, detail: str):
        super().__init__(detail)
        self.code = code
        self.detail = detail


def reject_ambiguous_framing(environ) -> None:
    """Reject requests whose length is ambiguous, to prevent smuggling.

    Args:
      environ: The WSGI environment.
    Raises:
      BadRequest: The framing is ambiguous or not supported.
    """
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is None:
        return
    if environ.get("CONTENT_LENGTH"):
        raise BadRequest(MALFORMED, "both a length and a transfer encoding")
    if encoding.lower() != "chunked":
        raise BadRequest(MALFORMED, f"transfer encoding {encoding!r}")


def read_body(environ, limit_bytes: int) -> bytes:
    """Read the complete body, up to a size limit.

    Args:
      environ: The WSGI environment.
      limit_bytes: Maximum size of the body.
    Returns:
      The body; empty if there is none.
    Raises:
      BadRequest: The body is too large, truncated or unreadable.
    """
    length = environ.get("CONTENT_LENGTH")
    if length and int(length) > limit_bytes:
        raise BadRequest(TOO_LARGE, f"{length} bytes, {limit_bytes} allowed")
    try:
        body = environ["wsgi.input"].read(limit_bytes + 1)
    except (OSError, ValueError) as error:
        raise BadRequest(MALFORMED, f"body unreadable: {error}") from error
    if len(body) > limit_bytes:
        raise BadRequest(TOO_LARGE, f"more than {limit_bytes} bytes")
    if length and len(body) < int(length):
        raise BadRequest(MALFORMED, "body shorter than its length")
    return body


def end_to_end_headers(environ) -> tuple[tuple[str, str], ...]:
    """Collect the headers to forward to the target.

    Args:
      environ: The WSGI environment.
    Returns:
      Names and values without hop-by-hop headers and without those that
      the entry itself consumes.
    """
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    connection_header_names = connection_options(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in ENTRY_HEADERS
        and name.lower() not in connection_header_names
    )


def connection_options(headers) -> set[str]:
    """Return the header names that the Connection header lists.

    Args:
      headers: Names and values.
    Returns:
      The names in lower case; they are hop-by-hop headers as well.
    """
    names = set()
    for name, value in headers:
        if name.lower() == "connection":
            names.update(item.strip().lower() for item in value.split(","))
    return names


def parse_key(environ) -> PresentedKey | None:
    """Parse the bearer key and hash its secret part.

    Args:
      environ: The WSGI environment.
    Returns:
      The key with the digest of its secret, or None if there is none.
    Raises:
      BadRequest: The Authorization header uses another scheme.
    """
    header = environ.get("HTTP_AUTHORIZATION")
    if header is None:
        return None
    scheme, _, credential = header.partition(" ")
    if scheme.lower() != "bearer":
        raise BadRequest(MALFORMED, "Authorization must be Bearer")
    key_id, _, secret = credential.strip().partition(".")
    return PresentedKey(key_id, sha256(secret.encode()).digest())


def parse_flag(environ, name: str, default: bool) -> bool:
    """Parse a boolean header.

    Args:
      environ: The WSGI environment.
      name: WSGI name of the header.
      default: Value for a missing or empty header.
    Returns:
      The value.
    Raises:
      BadRequest: The value is neither true nor false.
    """
    value = environ.get(name, "").lower()
    if value in ("", "true", "false"):
        return default if not value else value == "true"
    raise BadRequest(MALFORMED, f"{name[5:]} must be true or false")


def parse_positive_integer(environ, name: str, default: int) -> int:
    """Parse a header that is a positive integer.

    Args:
      environ: The WSGI environment.
      name: WSGI name of the header.
      default: Value for a missing header.
    Returns:
      The value.
    Raises:
      BadRequest: The value is not a positive integer.
    """
    value = environ.get(name)
    if value is None:
        return default
    if not value.isdecimal() or len(value) > 9 or int(value) < 1:
        raise BadRequest(MALFORMED, f"{name[5:]} must be a positive number")
    return int(value)


def _is_storable(text: str) -> bool:
    """Check for a text that UTF-8 can express: one without lone surrogates."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_job(body: bytes, job_id: str) -> Job:
    """Parse a job from a JSON body.

    Args:
      body: The complete body.
      job_id: Identifier to assign to the job.
    Returns:
      The job, with an empty team.
    Raises:
      BadRequest: The body is not a valid job.
    """
    try:
        fields = decode_object(body)
    except DecodeError as error:
        raise BadRequest(MALFORMED, "body must be a JSON object") from error
    field_types = {
        "pool": str,
        "command": str,
        "processors": int,
        "memory_mb": int,
        "accelerators": int,
        "urgent": bool,
    }
    for name, value in fields.items():
        if name not in field_types or type(value) is not field_types[name]:
            raise BadRequest(MALFORMED, f"job field {name} is not valid")
        if field_types[name] is int and not 0 <= value <= 1 << 31:
            raise BadRequest(MALFORMED, f"job field {name} is out of range")
        if field_types[name] is str and not _is_storable(value):
            raise BadRequest(MALFORMED, f"job field {name} is not valid")
    if "pool" not in fields or "command" not in fields:
        raise BadRequest(MALFORMED, "a job needs a pool and a command")
    return Job(job_id=job_id, team="", **fields)
