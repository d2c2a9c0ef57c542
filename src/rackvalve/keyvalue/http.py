"""HTTP and JSON implementation of the port to the platform."""

from __future__ import annotations

import base64
import dataclasses
import urllib.parse

import geventhttpclient
from geventhttpclient import response as http_response

from rackvalve import codec
from rackvalve import errors
from rackvalve.keyvalue import packing
from rackvalve.keyvalue import port
from rackvalve import metrics as metric_module
from rackvalve.settings import kinds

STATUS_OK = 200
STATUS_UNCHANGED = 204
STATUS_CONFLICT = 409
CONNECTIONS = 8


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Answer:
    """JSON body of the service's answers."""

    revision: int = 0
    payload: str = ""
    holder: str = ""
    vms: list[str] = dataclasses.field(default_factory=list)


class HttpPlatform:
    """Client of the platform's service.

    :param address: Address of the service.
    :param timeout: Timeout of a call, in seconds.
    :param metrics: Counts the calls.
    """

    def __init__(
        self,
        address: kinds.Address,
        *,
        timeout: float,
        metrics: metric_module.Metrics,
    ) -> None:
        self._address = address
        self._timeout = timeout
        self._metrics = metrics
        self._client = self._make_client(timeout)

    def read(self, key: str) -> port.Value | port.Failed:
        """Read a value; see :class:`rackvalve.keyvalue.port.Platform`."""
        answer = self._call(self._client, "GET", f"/v1/keys/{_quote(key)}")
        if isinstance(answer, port.Failed):
            return answer
        return _read_value(answer[1])

    def write(
        self, key: str, payload: bytes, expected: int
    ) -> port.Written | port.Conflict | port.Failed:
        """Write a value; see :class:`rackvalve.keyvalue.port.Platform`."""
        # POST, since the HTTP client retries a PUT automatically.
        path = f"/v1/keys/{_quote(key)}?expected={expected}"
        packed = packing.pack(payload)
        answer = self._call(self._client, "POST", path, packed)
        if isinstance(answer, port.Failed):
            return answer
        status, body = answer
        if status == STATUS_CONFLICT:
            return port.Conflict(revision=body.revision)
        return port.Written(revision=body.revision)

    def watch(
        self, key: str, after: int, wait: float
    ) -> port.Value | port.Unchanged | port.Failed:
        """Watch a value; see :class:`rackvalve.keyvalue.port.Platform`."""
        # A watch uses its own connection, which it occupies for minutes.
        client = self._make_client(wait + self._timeout)
        path = f"/v1/keys/{_quote(key)}?after={after}&wait={wait}"
        try:
            answer = self._call(client, "GET", path)
        finally:
            client.close()
        if isinstance(answer, port.Failed):
            return answer
        if answer[0] == STATUS_UNCHANGED:
            return port.Unchanged()
        return _read_value(answer[1])

    def take_lease(
        self, name: str, holder: str, duration: float
    ) -> port.Held | port.Failed:
        """Take a lease; see :class:`rackvalve.keyvalue.port.Platform`."""
        path = (
            f"/v1/leases/{_quote(name)}?holder={_quote(holder)}"
            f"&duration={duration}"
        )
        answer = self._call(self._client, "POST", path)
        if isinstance(answer, port.Failed):
            return answer
        return port.Held(holder=answer[1].holder)

    def list_vms(self) -> list[str] | port.Failed:
        """List VMs; see :class:`rackvalve.keyvalue.port.Platform`."""
        answer = self._call(self._client, "GET", "/v1/vms")
        if isinstance(answer, port.Failed):
            return answer
        return answer[1].vms

    def _make_client(self, timeout: float) -> geventhttpclient.HTTPClient:
        return geventhttpclient.HTTPClient(
            self._address.host,
            self._address.port,
            concurrency=CONNECTIONS,
            connection_timeout=self._timeout,
            network_timeout=timeout,
        )

    def _call(
        self,
        client: geventhttpclient.HTTPClient,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> tuple[int, _Answer] | port.Failed:
        self._metrics.count("platform.calls")
        answer = _send_request(client, method, path, body)
        if isinstance(answer, port.Failed):
            self._metrics.count("platform.failures")
        return answer


def _send_request(
    client: geventhttpclient.HTTPClient, method: str, path: str, body: bytes
) -> tuple[int, _Answer] | port.Failed:
    try:
        response = client.request(method, path, body=body)
        text = response.read()
    except (OSError, http_response.HTTPParseError) as error:
        return port.Failed(reason=repr(error), applied=method != "GET")
    status = response.status_code
    if status == STATUS_UNCHANGED:
        return status, _Answer()
    if status not in (STATUS_OK, STATUS_CONFLICT):
        # The service returns an error only for a call without any effect.
        return port.Failed(reason=f"status {status}", applied=False)
    try:
        return status, codec.decode_as(text, _Answer)
    except errors.DocumentInvalidError as error:
        return port.Failed(reason=repr(error), applied=method != "GET")


def _read_value(answer: _Answer) -> port.Value | port.Failed:
    try:
        value = base64.b64decode(answer.payload, validate=True)
        payload = packing.unpack(value)
    except (ValueError, errors.DocumentInvalidError) as error:
        return port.Failed(reason=repr(error), applied=False)
    return port.Value(payload=payload, revision=answer.revision)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")
