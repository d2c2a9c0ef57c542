"""Client of the administration API."""

from __future__ import annotations

import dataclasses
from typing import Any

import geventhttpclient
from geventhttpclient import response as http_response

from rackvalve import codec
from rackvalve import errors

TIMEOUT_S = 15.0
STATUS_OK = 200


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Reply:
    """An answer of the API.

    :param status: HTTP status code; 0 if the call failed.
    :param value: The decoded JSON.
    """

    status: int
    value: Any

    @property
    def ok(self) -> bool:
        """Whether the call succeeded."""
        return self.status == STATUS_OK


class Client:
    """Client of one administration service.

    :param address: Its address, ``IP:PORT``.
    :param token: The operator's token, empty for none.
    """

    def __init__(self, address: str, token: str) -> None:
        self._token = token
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"{address!r} is not IP:PORT")
        self._client = geventhttpclient.HTTPClient(
            host,
            int(port),
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Call the API.

        :param method: HTTP method.
        :param path: Path of the resource.
        :param body: Body of the request, as JSON.
        :param headers: Additional headers.
        """
        all_headers = dict(headers or {})
        if self._token:
            all_headers["Authorization"] = f"Bearer {self._token}"
        try:
            response = self._client.request(
                method, path, body=body, headers=all_headers
            )
            text = bytes(response.read())
            value = codec.decode_as(text, Any)
        except (
            OSError,
            http_response.HTTPParseError,
            errors.DocumentInvalidError,
        ) as error:
            return Reply(status=0, value={"detail": repr(error)})
        return Reply(status=response.status_code, value=value)
