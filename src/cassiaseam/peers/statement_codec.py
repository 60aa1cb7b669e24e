"""Codecs of requests and answers.

Times are seconds on the clock of the encoding or decoding process. The clocks of two VMs differ,
so deadlines are sent as remaining time and session starts as age. Both are rounded down: a
deadline is never extended and a session never appears to have opened earlier.
"""

from typing import Any

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet
from cassiaseam.peers.codec_registry import decodes, encodes, fill_pairs, read_pairs
from cassiaseam.peers.row_codec import fill_rows, read_rows
from cassiaseam.peers.schema import decode_text, encode_text
from cassiaseam.positions import LogPosition

_MAX_REMAINING_MS = 2**32 - 1


def _fill_position(target: Any, position: LogPosition) -> None:
    target.term = position.term
    target.offset = position.offset


def _read_position(source: Any) -> LogPosition:
    return LogPosition(source.term, source.offset)


@encodes(Request)
def _encode_request(message: Any, request: Request, now: float) -> None:
    target = message.init('request')
    target.requestId = request.request_id
    target.entry = request.entry
    target.caller = encode_text(request.caller)
    target.sessionId = request.session_id
    target.database = encode_text(request.database)
    target.kind = request.kind.value
    target.sql = encode_text(request.sql)
    remaining_ms = max(0, int((request.deadline - now) * 1000))
    target.remainingMs = min(remaining_ms, _MAX_REMAINING_MS)
    target.sessionAgeMs = max(0, int((now - request.session_opened_at) * 1000))
    target.repeatable = request.repeatable
    _encode_request_options(target, request)


def _encode_request_options(target: Any, request: Request) -> None:
    if request.floor is not None:
        target.hasFloor = True
        _fill_position(target.init('floor'), request.floor)
    if request.max_age_s is not None:
        target.hasMaxAge = True
        target.maxAgeS = request.max_age_s
    if request.idempotency_key is not None:
        target.hasKey = True
        target.idempotencyKey = encode_text(request.idempotency_key)
    if request.transaction_id is not None:
        target.hasTransaction = True
        target.transactionId = request.transaction_id
    if request.passed_over:
        target.passedOver = list(request.passed_over)


@decodes('request')
def _decode_request(message: Any, now: float) -> Request:
    source = message.request
    return Request(
        request_id=source.requestId,
        entry=source.entry,
        caller=decode_text(source.caller),
        session_id=source.sessionId,
        database=decode_text(source.database),
        kind=RequestKind(str(source.kind)),
        sql=decode_text(source.sql),
        deadline=now + source.remainingMs / 1000,
        floor=_read_position(source.floor) if source.hasFloor else None,
        session_opened_at=now - source.sessionAgeMs / 1000,
        max_age_s=source.maxAgeS if source.hasMaxAge else None,
        idempotency_key=decode_text(source.idempotencyKey) if source.hasKey else None,
        repeatable=source.repeatable,
        transaction_id=source.transactionId if source.hasTransaction else None,
        passed_over=tuple(source.passedOver),
    )


def _fill_result_set(target: Any, result_set: ResultSet) -> None:
    target.columns = [encode_text(column) for column in result_set.columns]
    target.affectedRows = result_set.affected_rows
    target.lastInsertId = result_set.last_insert_id
    target.columnTypes = list(result_set.column_types)
    fill_rows(target.init('rows'), result_set.rows)


def _read_result_set(source: Any) -> ResultSet:
    return ResultSet(
        columns=tuple(decode_text(column) for column in source.columns),
        rows=read_rows(source.rows),
        affected_rows=source.affectedRows,
        last_insert_id=source.lastInsertId,
        column_types=tuple(source.columnTypes),
    )


def _fill_error(target: Any, error: RequestError) -> None:
    target.kind = error.kind.value
    target.message = encode_text(error.message)
    if error.retry_after_s is not None:
        target.hasRetryAfter = True
        target.retryAfterS = error.retry_after_s
    if error.mysql_code is not None:
        target.hasMysqlCode = True
        target.mysqlCode = error.mysql_code
    fill_pairs(target, 'detail', error.detail)


def _read_error(source: Any) -> RequestError:
    return RequestError(
        kind=ErrorKind(source.kind),
        message=decode_text(source.message),
        retry_after_s=source.retryAfterS if source.hasRetryAfter else None,
        mysql_code=source.mysqlCode if source.hasMysqlCode else None,
        detail=read_pairs(source.detail),
    )


@encodes(Answer)
def _encode_answer(message: Any, answer: Answer, now: float) -> None:
    target = message.init('answer')
    target.requestId = answer.request_id
    if answer.result_set is not None:
        target.hasResult = True
        _fill_result_set(target.init('resultSet'), answer.result_set)
    if answer.error is not None:
        target.hasError = True
        _fill_error(target.init('error'), answer.error)
    target.target = encode_text(answer.target)
    _fill_position(target.init('position'), answer.position)
    target.replica = answer.replica


@decodes('answer')
def _decode_answer(message: Any, now: float) -> Answer:
    source = message.answer
    return Answer(
        request_id=source.requestId,
        result_set=_read_result_set(source.resultSet) if source.hasResult else None,
        error=_read_error(source.error) if source.hasError else None,
        target=decode_text(source.target),
        position=_read_position(source.position),
        replica=source.replica,
    )
