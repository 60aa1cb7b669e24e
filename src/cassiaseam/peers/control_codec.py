"""Codecs of all messages except requests and answers."""

from typing import Any

from cassiaseam.messages import TimelineRecord
from cassiaseam.peers.codec_registry import decodes, encodes, fill_pairs, read_pairs
from cassiaseam.peers.messages import (
    CancelRequest,
    ConfigDigest,
    ConfigShards,
    EncodedShard,
    Goodbye,
    Hello,
    Ping,
    TimelineEvents,
    TimelineQuery,
)
from cassiaseam.peers.schema import decode_text, encode_text
from cassiaseam.reducer.common import SessionClosed


@encodes(CancelRequest)
def _encode_cancel(message: Any, cancel: CancelRequest, now: float) -> None:
    target = message.init('cancel')
    target.database = encode_text(cancel.database)
    target.requestId = cancel.request_id


@decodes('cancel')
def _decode_cancel(message: Any, now: float) -> CancelRequest:
    return CancelRequest(decode_text(message.cancel.database), message.cancel.requestId)


@encodes(SessionClosed)
def _encode_session_closed(message: Any, closed: SessionClosed, now: float) -> None:
    target = message.init('sessionClosed')
    target.database = encode_text(closed.database)
    target.sessionId = closed.session_id


@decodes('sessionClosed')
def _decode_session_closed(message: Any, now: float) -> SessionClosed:
    source = message.sessionClosed
    return SessionClosed(decode_text(source.database), source.sessionId)


@encodes(ConfigDigest)
def _encode_config_digest(message: Any, digest: ConfigDigest, now: float) -> None:
    target = message.init('configDigest')
    target.versions = list(digest.versions)
    target.wanted = digest.wanted


@decodes('configDigest')
def _decode_config_digest(message: Any, now: float) -> ConfigDigest:
    return ConfigDigest(tuple(message.configDigest.versions), message.configDigest.wanted)


@encodes(ConfigShards)
def _encode_config_shards(message: Any, shards: ConfigShards, now: float) -> None:
    listed = message.init('configShards', len(shards.shards))
    for index, shard in enumerate(shards.shards):
        listed[index].number = shard.number
        listed[index].version = shard.version
        listed[index].document = shard.document


@decodes('configShards')
def _decode_config_shards(message: Any, now: float) -> ConfigShards:
    shards = (
        EncodedShard(shard.number, shard.version, bytes(shard.document))
        for shard in message.configShards
    )
    return ConfigShards(tuple(shards))


@encodes(TimelineQuery)
def _encode_timeline_query(message: Any, query: TimelineQuery, now: float) -> None:
    target = message.init('timelineQuery')
    target.queryId = query.query_id
    target.sinceMs = query.since_ms
    target.limit = query.limit
    target.database = encode_text(query.database)


@decodes('timelineQuery')
def _decode_timeline_query(message: Any, now: float) -> TimelineQuery:
    source = message.timelineQuery
    return TimelineQuery(
        source.queryId, source.sinceMs, source.limit, decode_text(source.database)
    )


@encodes(TimelineEvents)
def _encode_timeline_events(message: Any, events: TimelineEvents, now: float) -> None:
    target = message.init('timelineEvents')
    target.queryId = events.query_id
    target.truncated = events.truncated
    listed = target.init('records', len(events.records))
    for index, record in enumerate(events.records):
        _fill_timeline_record(listed[index], record)


def _fill_timeline_record(target: Any, record: TimelineRecord) -> None:
    target.kind = record.kind
    target.database = encode_text(record.database)
    target.term = record.term
    target.cause = encode_text(record.cause)
    fill_pairs(target, 'fields', record.fields)
    target.wallMs, target.counter = record.stamp
    target.vm = record.vm
    target.place = record.place


def _read_timeline_record(source: Any) -> TimelineRecord:
    return TimelineRecord(
        kind=source.kind,
        database=decode_text(source.database),
        term=source.term,
        cause=decode_text(source.cause),
        fields=read_pairs(source.fields),
        stamp=(source.wallMs, source.counter),
        vm=source.vm,
        place=source.place,
    )


@decodes('timelineEvents')
def _decode_timeline_events(message: Any, now: float) -> TimelineEvents:
    source = message.timelineEvents
    records = tuple(_read_timeline_record(record) for record in source.records)
    return TimelineEvents(source.queryId, records, source.truncated)


@encodes(Ping)
def _encode_ping(message: Any, ping: Ping, now: float) -> None:
    message.ping = ping.wants_answer


@decodes('ping')
def _decode_ping(message: Any, now: float) -> Ping:
    return Ping(message.ping)


@encodes(Goodbye)
def _encode_goodbye(message: Any, goodbye: Goodbye, now: float) -> None:
    message.goodbye = None


@decodes('goodbye')
def _decode_goodbye(message: Any, now: float) -> Goodbye:
    return Goodbye()


@encodes(Hello)
def _encode_hello(message: Any, hello: Hello, now: float) -> None:
    target = message.init('hello')
    target.vm = hello.vm
    target.incarnation = hello.incarnation
    target.protocolVersion = hello.protocol_version


@decodes('hello')
def _decode_hello(message: Any, now: float) -> Hello:
    source = message.hello
    return Hello(source.vm, source.incarnation, source.protocolVersion)
