"""WSGI application of the administration API."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import re
from typing import Any

from rackvalve.admin import backend
from rackvalve.admin import problems
from rackvalve import codec
from rackvalve import commands
from rackvalve.configuration import document
from rackvalve.configuration import operators
from rackvalve import errors
from rackvalve.language import evaluation
from rackvalve.language import parser
from rackvalve.language import statements
from rackvalve import logs

BODY_LIMIT = 1024 * 1024
_OPERATOR_KEY = "rackvalve.operator"
_OPERATORS_KEY = "rackvalve.operators"
_REQUEST_PATH = re.compile(r"/v1/requests/([A-Za-z0-9._:-]{1,128})")
_REVISION = re.compile(r'"?([0-9]{1,18})"?')

_PROBLEMS: dict[str, tuple[int, str]] = {
    "conflict": (409, "Another change came first"),
    "rejected": (422, "The command is not possible"),
    "failed": (503, "The platform did not take it; nothing changed"),
    "unknown": (504, "The platform's answer was lost; it may be in force"),
}

Result = object


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Lines:
    """An answer that consists of sentences.

    :param lines: The sentences.
    """

    lines: list[str]


class App:
    """Serves operators' requests.

    :param source: Client of the steward and the entries.
    :param clock: Reads the wall clock, in seconds.
    """

    def __init__(
        self, source: backend.Backend, *, clock: Callable[[], float]
    ) -> None:
        self._source = source
        self._clock = clock

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer one request; see PEP 3333."""
        result = self._answer(environ)
        status = 200
        content_type = "application/json"
        if isinstance(result, problems.Problem):
            status = result.status
            content_type = problems.CONTENT_TYPE
        body = codec.encode(result)
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(problems.STATUSES[status], headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> Result:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        # Statements and commands are authorized again, by their kind.
        denied = self._authorize(environ, operators.Role.READ)
        if denied is not None:
            return denied
        match = _REQUEST_PATH.fullmatch(path)
        if match is not None and method == "GET":
            return self._source.explain(match[1])
        handlers: dict[tuple[str, str], Callable[[Any], Result]] = {
            ("GET", "/v1/status"): self._get_status,
            ("GET", "/v1/burn"): self._get_burn,
            ("GET", "/v1/configuration"): self._get_configuration,
            ("PUT", "/v1/configuration"): self._put_configuration,
            ("POST", "/v1/commands"): self._post_command,
            ("POST", "/v1/statements"): self._post_statement,
        }
        handler = handlers.get((method, path))
        if handler is not None:
            return handler(environ)
        if any(path == known for _, known in handlers):
            return problems.Problem(
                type="method",
                title="Method not allowed",
                status=405,
                detail=f"{method} {path}",
            )
        return problems.make_missing(path)

    def _authorize(
        self, environ: dict[str, Any], needed: operators.Role
    ) -> problems.Problem | None:
        """Return the error for an unauthorized caller, otherwise ``None``."""
        found = environ.get(_OPERATORS_KEY)
        if found is None:
            found = self._source.list_operators()
        if isinstance(found, problems.Problem):
            return found
        # Cached for the request, since commands are authorized twice.
        environ[_OPERATORS_KEY] = found
        header = environ.get("HTTP_AUTHORIZATION", "")
        token = header.removeprefix("Bearer ") if header else ""
        checked = operators.check_token(
            found.operators, token, needed, self._clock()
        )
        if isinstance(checked, operators.Denied):
            return problems.make_denied(needed.value, known=checked.known)
        environ[_OPERATOR_KEY] = checked.operator
        return None

    def _execute(
        self, environ: dict[str, Any], command: commands.Command
    ) -> Result:
        """Execute a command, if the caller's role allows it."""
        denied = self._authorize(environ, commands.get_role(command))
        if denied is not None:
            return denied
        result = self._source.execute(command)
        if isinstance(result, commands.Answer):
            logs.write_event(
                "command.done",
                operator=environ[_OPERATOR_KEY],
                command=commands.encode(command).decode(),
                outcome=result.outcome,
                revision=result.revision,
                detail=result.detail,
            )
        return self._convert_answer(result)

    def _get_status(self, environ: dict[str, Any]) -> Result:
        return self._source.execute(commands.ShowStatus())

    def _get_burn(self, environ: dict[str, Any]) -> Result:
        return self._source.gather_burn()

    def _get_configuration(self, environ: dict[str, Any]) -> Result:
        status = self._source.execute(commands.ShowStatus())
        if not isinstance(status, commands.Status):
            return status
        return commands.ReplaceConfiguration(
            configuration=status.configuration,
            expected=status.configuration_revision,
        )

    def _put_configuration(self, environ: dict[str, Any]) -> Result:
        match = _REVISION.fullmatch(environ.get("HTTP_IF_MATCH", ""))
        if match is None:
            return problems.make_malformed(
                "If-Match: give the revision that the change is based on"
            )
        body = _read_body(environ)
        if isinstance(body, problems.Problem):
            return body
        try:
            configuration = document.decode(body)
        except errors.DocumentInvalidError as error:
            return problems.make_malformed(error.reason)
        command = commands.ReplaceConfiguration(
            configuration=configuration, expected=int(match[1])
        )
        return self._execute(environ, command)

    def _post_command(self, environ: dict[str, Any]) -> Result:
        body = _read_body(environ)
        if isinstance(body, problems.Problem):
            return body
        try:
            command = commands.decode(body)
        except errors.DocumentInvalidError as error:
            return problems.make_malformed(error.reason)
        return self._execute(environ, command)

    def _post_statement(self, environ: dict[str, Any]) -> Result:
        body = _read_body(environ)
        if isinstance(body, problems.Problem):
            return body
        statement = parser.parse(body.decode("utf-8", "replace"))
        if isinstance(statement, parser.Mistake):
            return problems.make_malformed(str(statement))
        if isinstance(statement, statements.Instruction):
            return self._execute(environ, statement.command)
        if isinstance(statement, statements.Why):
            return self._explain(statement)
        status = self._source.execute(commands.ShowStatus())
        if not isinstance(status, commands.Status):
            return status
        answer = evaluation.answer_query(statement, status)
        if isinstance(answer, evaluation.UnknownField):
            known = ", ".join(answer.known)
            return problems.make_malformed(
                f"no column {answer.field!r}; there are {known}"
            )
        return answer

    def _explain(self, why: statements.Why) -> Result:
        if why.subject is statements.Subject.REQUEST:
            return self._source.explain(why.name)
        status = self._source.execute(commands.ShowStatus())
        if not isinstance(status, commands.Status):
            return status
        if why.subject is statements.Subject.VM:
            lines = evaluation.explain_vm(why.name, status)
        else:
            lines = evaluation.explain_pool(why.name, status)
        if not lines:
            detail = f"{why.subject.value} {why.name!r} is not known here"
            return problems.make_missing(detail)
        return Lines(lines=lines)

    def _convert_answer(self, result: Result) -> Result:
        if not isinstance(result, commands.Answer):
            return result
        if result.outcome == "accepted":
            return result
        status, title = _PROBLEMS[result.outcome]
        return problems.Problem(
            type=result.outcome,
            title=title,
            status=status,
            detail=result.detail,
            revision=result.revision,
        )


def _read_body(environ: dict[str, Any]) -> bytes | problems.Problem:
    try:
        body: bytes = environ["wsgi.input"].read(BODY_LIMIT + 1)
    except (OSError, ValueError):
        return problems.make_malformed("body: ended before its length")
    if len(body) > BODY_LIMIT:
        return problems.Problem(
            type="too-large",
            title="Body too large",
            status=413,
            detail=f"body: larger than {BODY_LIMIT} bytes",
        )
    return body
