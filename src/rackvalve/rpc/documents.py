"""Versioned documents that the processes exchange."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from gevent import event

from rackvalve.rpc import rackvalve_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Document:
    """A document.

    :param name: Name of the document.
    :param revision: Revision of the document, at least 1.
    :param payload: The content, as JSON.
    """

    name: str
    revision: int
    payload: bytes


class Documents:
    """Latest document of each name; older revisions are ignored."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._changed = event.Event()

    def offer(self, document: Document) -> bool:
        """Store a document if its revision is newer than the stored one.

        :param document: The document.
        :return: Whether it was stored.
        """
        if document.revision <= self.get_revision(document.name):
            return False
        self._documents[document.name] = document
        self.notify_waiters()
        return True

    def notify_waiters(self) -> None:
        """Wake all waiters, for instance after a change of other state."""
        changed, self._changed = self._changed, event.Event()
        changed.set()

    def get(self, name: str) -> Document | None:
        """Return a document.

        :param name: Its name.
        """
        return self._documents.get(name)

    def get_revision(self, name: str) -> int:
        """Return a document's revision; 0 if there is none.

        :param name: Its name.
        """
        document = self._documents.get(name)
        return document.revision if document else 0

    def get_revisions(self) -> dict[str, int]:
        """Return the revisions by name."""
        return {
            name: document.revision
            for name, document in self._documents.items()
        }

    def list_newer(self, known: Mapping[str, int]) -> list[Document]:
        """List the documents that are newer than those known.

        :param known: Revisions by name; a missing one counts as 0.
        """
        return [
            document
            for document in self._documents.values()
            if document.revision > known.get(document.name, 0)
        ]

    def wait_newer(
        self, known: Mapping[str, int], wait: float
    ) -> list[Document]:
        """Wait for documents that are newer than those known.

        :param known: Revisions by name.
        :param wait: Maximum wait, in seconds.
        :return: The documents; empty if there is none after the wait.
        """
        newer = self.list_newer(known)
        if newer or wait <= 0:
            return newer
        self._changed.wait(wait)
        return self.list_newer(known)


def to_messages(
    documents: Iterable[Document],
) -> list[rackvalve_pb2.Document]:
    """Convert documents to messages.

    :param documents: The documents.
    """
    return [
        rackvalve_pb2.Document(
            name=document.name,
            revision=document.revision,
            payload=document.payload,
        )
        for document in documents
    ]


def from_message(message: rackvalve_pb2.Document) -> Document:
    """Convert a message to a document.

    :param message: The message.
    """
    return Document(
        name=message.name,
        revision=message.revision,
        payload=message.payload,
    )


def make_request(
    known: Mapping[str, int], wait: float
) -> rackvalve_pb2.FetchRequest:
    """Return a request for documents newer than those known.

    :param known: Revisions by name.
    :param wait: Maximum wait, in seconds.
    """
    return rackvalve_pb2.FetchRequest(
        known=[
            rackvalve_pb2.Known(name=name, revision=revision)
            for name, revision in known.items()
        ],
        wait_s=wait,
    )


def read_known(request: rackvalve_pb2.FetchRequest) -> dict[str, int]:
    """Return the revisions that a client knows, by name.

    :param request: The client's request.
    """
    return {known.name: known.revision for known in request.known}
