"""Reading of callers' requests from their WSGI environment."""

from hashlib import sha256
import json

from sesamehall.core.codes import MALFORMED
from sesamehall.core.codes import ResultCode
from sesamehall.core.codes import SesamehallError
from sesamehall.core.codes import TOO_LARGE
from sesamehall.core.data import Job
from sesamehall.core.data import PresentedKey

HOP_BY_HOP = frozenset(
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
CONSUMED = frozenset(("authorization", "content-length", "expect"))
JOB_BODY_LIMIT_BYTES = 64 << 10


class BadRequest(SesamehallError):
    """A request that is refused before any decision.

    Attributes:
      code: The result code.
      detail: What exactly, for a person to read.
    """

    def __init__(self, code: ResultCode, detail: str):
        super().__init__(detail)
        self.code = code
        self.detail = detail


def refuse_ambiguous(environ) -> None:
    """Refuse requests whose end two readers could see differently.

    Args:
      environ: The WSGI environment.
    Raises:
      BadRequest: It is not valid; the code says why.
    """
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is None:
        return
    if environ.get("CONTENT_LENGTH"):
        raise BadRequest(MALFORMED, "both a length and a transfer encoding")
    if encoding.lower() != "chunked":
        raise BadRequest(MALFORMED, f"transfer encoding {encoding!r}")


def read_body(environ, limit_bytes: int) -> bytes:
    """Read the whole body within its limit.

    Args:
      environ: The WSGI environment.
      limit_bytes: Largest body allowed.
    Returns:
      The body, empty where there is none.
    Raises:
      BadRequest: It is not valid; the code says why.
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


def headers_of(environ) -> tuple[tuple[str, str], ...]:
    """Collect the headers that go on to the target.

    Args:
      environ: The WSGI environment.
    Returns:
      Names and values without those that end at the entry.
    """
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    listed = connection_names(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP
        and name.lower() not in CONSUMED
        and name.lower() not in listed
    )


def connection_names(headers) -> set[str]:
    """List the headers that Connection names as hop-by-hop.

    Args:
      headers: Names and values.
    Returns:
      The names in lower case.
    """
    names = set()
    for name, value in headers:
        if name.lower() == "connection":
            names.update(item.strip().lower() for item in value.split(","))
    return names


def read_key(environ) -> PresentedKey | None:
    """Read the bearer key; its secret part is digested at once.

    Args:
      environ: The WSGI environment.
    Returns:
      The key with its secret digested, or None where none was shown.
    Raises:
      BadRequest: It is not valid; the code says why.
    """
    header = environ.get("HTTP_AUTHORIZATION")
    if header is None:
        return None
    scheme, _, credential = header.partition(" ")
    if scheme.lower() != "bearer":
        raise BadRequest(MALFORMED, "Authorization must be Bearer")
    key_id, _, secret = credential.strip().partition(".")
    return PresentedKey(key_id, sha256(secret.encode()).digest())


def read_flag(environ, name: str, default: bool) -> bool:
    """Read a header that is true or false.

    Args:
      environ: The WSGI environment.
      name: Name of the header as WSGI has it.
      default: Value of a header that is missing or empty.
    Returns:
      The value.
    Raises:
      BadRequest: It is neither.
    """
    value = environ.get(name, "").lower()
    if value in ("", "true", "false"):
        return default if not value else value == "true"
    raise BadRequest(MALFORMED, f"{name[5:]} must be true or false")


def read_number(environ, name: str, default: int) -> int:
    """Read a header that is a positive whole number.

    Args:
      environ: The WSGI environment.
      name: Name of the header as WSGI has it.
      default: Value of a header that is missing.
    Returns:
      The value.
    Raises:
      BadRequest: It is none.
    """
    value = environ.get(name)
    if value is None:
        return default
    if not value.isdecimal() or len(value) > 9 or int(value) < 1:
        raise BadRequest(MALFORMED, f"{name[5:]} must be a positive number")
    return int(value)


def read_job(body: bytes, job_id: str) -> Job:
    """Read a job from its JSON body.

    Args:
      body: The whole body.
      job_id: Identifier that the job gets.
    Returns:
      The job, its team still empty.
    Raises:
      BadRequest: It is not valid; the code says why.
    """
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequest(MALFORMED, "body is not JSON") from error
    if not isinstance(fields, dict):
        raise BadRequest(MALFORMED, "body must be a JSON object")
    kinds = {
        "pool": str,
        "command": str,
        "processors": int,
        "memory_mb": int,
        "accelerators": int,
        "urgent": bool,
    }
    for name, value in fields.items():
        if name not in kinds or type(value) is not kinds[name]:
            raise BadRequest(MALFORMED, f"job field {name} is not valid")
        if kinds[name] is int and not 0 <= value <= 1 << 31:
            raise BadRequest(MALFORMED, f"job field {name} is out of range")
    if "pool" not in fields or "command" not in fields:
        raise BadRequest(MALFORMED, "a job needs a pool and a command")
    return Job(job_id=job_id, team="", **fields)
