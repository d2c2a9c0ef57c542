"""Documents that another writer may leave, by their form."""

from __future__ import annotations

import json

DEPTH = 20000


def _nest(opening: str, closing: str) -> str:
    return opening * DEPTH + closing * DEPTH


# Value of an unknown field, by form.
FORMS = {
    "a list 20000 deep": _nest("[", "]"),
    "an object 20000 deep": _nest('{"a":', "}").replace(
        '{"a":}', '{"a":1}', 1
    ),
    "numbers of 400 digits": "9" * 400,
    "a number beyond floats": "1e400",
    "a port of 99999": '"127.0.0.1:99999"',
    "text that is no Unicode": '"\\ud800"',
}
# Field that a form is about, if that is not an unknown one.
FIELDS = {
    "a port of 99999": "addr",
    "numbers of 400 digits": "remaining-ms",
    "a number beyond floats": "remaining-ms",
}


def make(form: str, document: dict[str, object]) -> bytes:
    """Return a document with a field of an odd form.

    :param form: A key of :data:`FORMS`; others leave it as it is.
    :param document: A valid document.
    """
    if form not in FORMS:
        return json.dumps(document).encode()
    field = FIELDS.get(form, "odd")
    kept = {name: one for name, one in document.items() if name != field}
    text = json.dumps(kept)[:-1]
    comma = "," if kept else ""
    return f'{text}{comma}"{field}":{FORMS[form]}}}'.encode()


def make_alone(form: str) -> bytes:
    """Return a document that consists of an odd value alone.

    :param form: A key of :data:`FORMS`.
    """
    return FORMS[form].encode()
