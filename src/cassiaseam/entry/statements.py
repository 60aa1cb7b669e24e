"""Execution of the statements of one caller session through the forwarder."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from cassiaseam.entry.classification import Classification, StatementKind
from cassiaseam.entry.forwarding import Forwarder, OwnedAnswer, build_rollback
from cassiaseam.entry.options import (
    DEFAULT_DEADLINE_S,
    RequestOptions,
    parse_leading_comment,
    select_prefixed_options,
    validate_options,
)
from cassiaseam.entry.retries import RETRY_AFTER_S
from cassiaseam.entry.session_state import (
    OpenTransaction,
    SessionState,
    TransactionPhase,
    apply_answer,
    apply_token,
    build_request,
)
from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet

ROLLBACK_DEADLINE_S = 5.0
DEADLOCK_MYSQL_CODE = 1213

# The transaction stays open at the owner after these errors.
_TRANSACTION_SURVIVES = frozenset(
    (
        ErrorKind.BAD_REQUEST,
        ErrorKind.BAD_SQL,
        ErrorKind.OVERLOADED,
        ErrorKind.STATEMENT_FAILED,
        ErrorKind.TOO_LARGE,
        ErrorKind.UNKNOWN_OBJECT,
        ErrorKind.UNSUPPORTED,
    )
)


@dataclass(frozen=True, slots=True)
class DeadlineLimits:
    """Limits on statement deadlines.

    Attributes:
        default_s: Deadline in seconds of a statement that does not set one.
        max_s: Longest deadline in seconds that a caller may set.
    """

    default_s: float = DEFAULT_DEADLINE_S
    max_s: float = 60.0


class StatementRunner:
    """Runs the statements of one session and tracks its transaction.

    Attributes:
        state: State of the session.
        options: Options that apply to the whole session.
    """

    def __init__(
        self,
        state: SessionState,
        forwarder: Forwarder,
        clock: Callable[[], float],
        limits: DeadlineLimits | None = None,
    ):
        self.state = state
        self.forwarder = forwarder
        self.clock = clock
        self.limits = limits or DeadlineLimits()
        self.defaults = RequestOptions(deadline_s=self.limits.default_s)
        self.options = self.defaults

    def set_option(self, name: str, text: str) -> Result[None, RequestError]:
        """Set an option for later statements of the session."""
        texts = {**self.state.option_texts, name: text}
        validated = self._validate(texts)
        if isinstance(validated, Err):
            return validated
        self.state.option_texts = texts
        self.options = validated.ok_value
        if name == 'token' and self.state.database:
            return self._use_session_token()
        return Ok(None)

    def remove_option(self, name: str) -> None:
        """Unset an option of the session."""
        if self.state.option_texts.pop(name, None) is not None:
            self.options = self._validate(self.state.option_texts).unwrap_or(self.defaults)

    def reset_options(self) -> None:
        """Restore the default options of the session."""
        self.options = self.defaults

    async def run_statement(
        self, sql: str, found: Classification, attributes: Mapping[str, object]
    ) -> Answer:
        """Run one classified statement other than a session statement."""
        refusal = self._find_refusal(found)
        if refusal is not None:
            return Answer('', error=refusal)
        gathered = self._collect_options(sql, attributes)
        if isinstance(gathered, Err):
            return Answer('', error=gathered.err_value)
        options = gathered.ok_value
        run_transaction_command = _TRANSACTION_COMMANDS.get(found.kind)
        if run_transaction_command is not None:
            return await run_transaction_command(self, options)
        if found.implicit_commit:
            committed = await self.commit_transaction(options)
            if committed.error is not None:
                return committed
        elif not self.state.autocommit and self.state.transaction is None:
            begun = await self.begin_transaction(options)
            if begun.error is not None:
                return begun
        if self.state.transaction is not None:
            return await self._run_in_transaction(sql, found, options)
        return await self._run_outside_transaction(sql, found, options)

    async def begin_transaction(self, options: RequestOptions) -> Answer:
        """Open a transaction after committing the one that is open, if any."""
        if self.state.transaction is not None:
            committed = await self.commit_transaction(options)
            if committed.error is not None:
                return committed
        self.remove_option('key')
        built = build_request(self.state, RequestKind.BEGIN, '', options, self.clock())
        request = replace(built, transaction_id=f'{built.request_id}.transaction')
        owned = await self._forward_begin(request)
        if owned.answer.error is None:
            self.state.transaction = OpenTransaction(
                request.transaction_id or '', request.database, owned.owner
            )
        return owned.answer

    async def commit_transaction(self, options: RequestOptions) -> Answer:
        """Commit the open transaction; succeeds if none is open."""
        transaction = self.state.transaction
        if transaction is None:
            return Answer('', result_set=ResultSet())
        plain = replace(options, key=None)
        request = build_request(self.state, RequestKind.COMMIT, '', plain, self.clock())
        transaction.phase = TransactionPhase.COMMIT_SENT
        owned = await self.forwarder.forward_request(request, transaction.owner)
        self.state.transaction = None
        error = owned.answer.error
        if error is None:
            apply_answer(self.state, request, owned.answer)
            return owned.answer
        self._release_transaction(request, transaction)
        if error.kind in {ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STATEMENT_FAILED}:
            return owned.answer
        return replace(owned.answer, error=_describe_abort(error))

    async def roll_back_transaction(self, options: RequestOptions) -> Answer:
        """Roll back the open transaction.

        Every outcome counts as success, because a lost owner also rolls back.
        """
        transaction = self.state.transaction
        if transaction is None:
            return Answer('', result_set=ResultSet())
        plain = replace(options, key=None)
        request = build_request(self.state, RequestKind.ROLLBACK, '', plain, self.clock())
        self.state.transaction = None
        owned = await self.forwarder.forward_request(request, transaction.owner)
        if owned.answer.error is None:
            return owned.answer
        self._release_transaction(request, transaction)
        return Answer(request.request_id, result_set=ResultSet())

    def abandon_transaction(self) -> None:
        """Roll back the open transaction in the background after the caller disconnected."""
        transaction = self.state.transaction
        if transaction is None:
            return
        request = build_request(
            self.state, RequestKind.ROLLBACK, '', RequestOptions(), self.clock()
        )
        self.state.transaction = None
        self.forwarder.roll_back_in_background(request, transaction.owner)

    async def _forward_begin(self, request: Request) -> OwnedAnswer:
        try:
            owned = await self.forwarder.forward_request(request)
        except BaseException:
            self._release_at_ranked_owner(request)
            raise
        error = owned.answer.error
        if error is not None and error.kind is ErrorKind.DEADLINE_EXCEEDED:
            self._release_at_ranked_owner(request)
        return owned

    def _release_at_ranked_owner(self, request: Request) -> None:
        # The owner may still open the transaction of a BEGIN that timed out or was cancelled.
        owner = self.forwarder.find_first_owner(request.database)
        if owner:
            rollback = build_rollback(request, self.clock() + ROLLBACK_DEADLINE_S)
            self.forwarder.roll_back_in_background(rollback, owner)

    async def _run_outside_transaction(
        self, sql: str, found: Classification, options: RequestOptions
    ) -> Answer:
        kind = RequestKind.READ if found.kind is StatementKind.READ else RequestKind.WRITE
        if kind is RequestKind.READ:
            options = replace(options, key=None) if options.key else options
        else:
            self.remove_option('key')
        request = build_request(self.state, kind, sql, options, self.clock())
        owned = await self.forwarder.forward_request(request)
        apply_answer(self.state, request, owned.answer)
        return owned.answer

    async def _run_in_transaction(
        self, sql: str, found: Classification, options: RequestOptions
    ) -> Answer:
        transaction = self.state.transaction
        assert transaction is not None  # noqa: S101  (checked by the caller)
        kind = RequestKind.READ if found.kind is StatementKind.READ else RequestKind.WRITE
        plain = replace(options, key=None)
        request = build_request(self.state, kind, sql, plain, self.clock())
        owned = await self.forwarder.forward_request(request, transaction.owner)
        apply_answer(self.state, request, owned.answer)
        error = owned.answer.error
        if error is None or _transaction_survives(error):
            return owned.answer
        self.state.transaction = None
        self._release_transaction(request, transaction)
        if error.kind is ErrorKind.STATEMENT_FAILED:
            return owned.answer
        return replace(owned.answer, error=_describe_abort(error))

    def _release_transaction(self, request: Request, transaction: OpenTransaction) -> None:
        rollback = build_rollback(request, self.clock() + ROLLBACK_DEADLINE_S)
        self.forwarder.roll_back_in_background(rollback, transaction.owner)

    def _find_refusal(self, found: Classification) -> RequestError | None:
        if found.kind is StatementKind.REFUSED:
            return RequestError(found.error, found.reason)
        if not self.state.database:
            return RequestError(ErrorKind.UNKNOWN_DATABASE, 'no database selected')
        in_transaction = self.state.transaction is not None or not self.state.autocommit
        if found.needs_transaction and not in_transaction:
            message = 'the statement depends on one connection; run it inside a transaction'
            return RequestError(ErrorKind.UNSUPPORTED, message)
        return None

    def _collect_options(
        self, sql: str, attributes: Mapping[str, object]
    ) -> Result[RequestOptions, RequestError]:
        if self.options.token is not None:
            applied = self._use_session_token()
            if isinstance(applied, Err):
                return applied
        commented = parse_leading_comment(sql)
        if isinstance(commented, Err):
            return commented
        own = commented.ok_value
        if attributes:
            own = {**select_prefixed_options(attributes), **own}
        if not own:
            return Ok(self.options)
        validated = self._validate({**self.state.option_texts, **own})
        if isinstance(validated, Err):
            return validated
        if 'key' in own and self.state.transaction is not None:
            message = 'a key belongs to the BEGIN of a transaction'
            return Err(RequestError(ErrorKind.BAD_REQUEST, message))
        if validated.ok_value.token is not None:
            applied = apply_token(self.state, validated.ok_value.token)
            if isinstance(applied, Err):
                return applied
        return validated

    def _validate(self, texts: Mapping[str, str]) -> Result[RequestOptions, RequestError]:
        validated = validate_options(texts)
        if isinstance(validated, Err):
            return validated
        options = validated.ok_value
        if 'deadline' not in texts:
            return Ok(replace(options, deadline_s=self.limits.default_s))
        if options.deadline_s > self.limits.max_s:
            message = f'deadline {options.deadline_s:g}s exceeds {self.limits.max_s:g}s'
            return Err(RequestError(ErrorKind.BAD_REQUEST, message))
        return validated

    def _use_session_token(self) -> Result[None, RequestError]:
        token = self.options.token
        self.remove_option('token')
        return Ok(None) if token is None else apply_token(self.state, token)


_TRANSACTION_COMMANDS = {
    StatementKind.BEGIN: StatementRunner.begin_transaction,
    StatementKind.COMMIT: StatementRunner.commit_transaction,
    StatementKind.ROLLBACK: StatementRunner.roll_back_transaction,
}


def _transaction_survives(error: RequestError) -> bool:
    return error.kind in _TRANSACTION_SURVIVES and error.mysql_code != DEADLOCK_MYSQL_CODE


def _describe_abort(error: RequestError) -> RequestError:
    if error.kind is ErrorKind.TRANSACTION_ABORTED:
        return error
    message = f'{error.kind.value}: {error.message}'
    after_s = RETRY_AFTER_S if error.retry_after_s is None else error.retry_after_s
    return RequestError(ErrorKind.TRANSACTION_ABORTED, message, after_s)
