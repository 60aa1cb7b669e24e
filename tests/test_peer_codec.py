import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.membership.messages import Datagram, DatagramKind, MemberRecord, MemberStatus
from cassiaseam.membership.records import queue_update, select_updates, split_into_pages
from cassiaseam.membership.state import create_membership
from cassiaseam.messages import Answer, Request, RequestKind, ResultSet, TimelineRecord
from cassiaseam.peers import messages
from cassiaseam.peers.codec import MalformedMessage, decode_message, encode_message
from cassiaseam.peers.datagrams import (
    MalformedDatagram,
    decode_datagram,
    encode_datagram,
)
from cassiaseam.positions import LogPosition
from cassiaseam.reducer.common import SessionClosed

texts = st.text(st.characters(), max_size=20)
names = st.text(st.characters(exclude_categories=['Cs'], exclude_characters='\0'), max_size=20)
uint64 = st.integers(0, 2**64 - 1)
positions = st.builds(LogPosition, uint64, uint64)
pairs = st.dictionaries(texts, texts, max_size=3)
cells = st.one_of(
    st.none(), st.integers(-(2**70), 2**70), st.floats(allow_nan=False), texts, st.binary()
)
rows = st.lists(st.lists(cells, max_size=3).map(tuple), max_size=3).map(tuple)
result_sets = st.builds(
    ResultSet,
    st.lists(texts, max_size=3).map(tuple),
    rows,
    uint64,
    uint64,
    st.lists(st.integers(0, 255), max_size=3).map(tuple),
)
errors = st.builds(
    RequestError,
    st.sampled_from(ErrorKind),
    texts,
    st.none() | st.floats(0, 10),
    st.none() | st.integers(0, 65535),
    pairs,
)
answers = st.builds(
    Answer, names, st.none() | result_sets, st.none() | errors, texts, positions, st.booleans()
)
records = st.builds(
    TimelineRecord,
    names,
    texts,
    uint64,
    texts,
    pairs,
    st.tuples(uint64, uint64),
    names,
    names,
)
shards = st.builds(messages.EncodedShard, st.integers(0, 63), uint64, st.binary())
others = st.one_of(
    answers,
    st.builds(messages.CancelRequest, texts, names),
    st.builds(SessionClosed, texts, names),
    st.builds(messages.ConfigDigest, st.lists(uint64).map(tuple), st.booleans()),
    st.builds(messages.ConfigShards, st.lists(shards, max_size=3).map(tuple)),
    st.builds(messages.TimelineQuery, names, uint64, st.integers(0, 2**32 - 1), texts),
    st.builds(
        messages.TimelineEvents, names, st.lists(records, max_size=2).map(tuple), st.booleans()
    ),
    st.builds(messages.Ping, st.booleans()),
    st.builds(messages.Goodbye),
    st.builds(messages.Hello, names, uint64, st.integers(0, 2**32 - 1)),
)
requests = st.builds(
    Request,
    names,
    names,
    texts,
    names,
    texts,
    st.sampled_from(RequestKind),
    texts,
    st.floats(0, 1e6),
    st.none() | positions,
    st.floats(0, 1000),
    st.none() | st.floats(0, 100),
    st.none() | texts,
    st.booleans(),
    st.none() | names,
    st.lists(names, max_size=3).map(tuple),
)


@settings(derandomize=True)
@given(uint64, others)
def test_no_field_of_a_message_is_lost(wire_id, body):
    decoded = decode_message(encode_message(wire_id, body, 0), 0)
    assert (decoded.wire_id, decoded.body) == (wire_id, body)


@settings(derandomize=True)
@given(requests, st.floats(1000, 2000), st.floats(0, 1e6))
def test_times_of_a_request_move_to_the_clock_of_the_receiver_and_never_widen(
    request, sent_at, received_at
):
    decoded = decode_message(encode_message(1, request, sent_at), received_at).body
    remaining_s = max(0, request.deadline - sent_at)
    age_s = sent_at - request.session_opened_at
    assert remaining_s - 0.0011 <= decoded.deadline - received_at <= remaining_s + 1e-6
    assert age_s - 0.0011 <= received_at - decoded.session_opened_at <= age_s + 1e-6
    same_times = {
        'deadline': request.deadline,
        'session_opened_at': request.session_opened_at,
    }
    assert replace(decoded, **same_times) == request


def test_nan_survives_a_round_trip():
    answer = Answer('r', ResultSet(rows=((math.nan,),)))
    decoded = decode_message(encode_message(1, answer, 0), 0).body
    assert math.isnan(decoded.result_set.rows[0][0])


@settings(derandomize=True)
@given(st.binary(max_size=200))
def test_any_bytes_give_a_message_or_one_kind_of_error(received):
    for decode, error in (
        (lambda: decode_message(received, 0), MalformedMessage),
        (lambda: decode_datagram(received), MalformedDatagram),
    ):
        try:
            decode()
        except error:
            continue


member_records = st.builds(
    MemberRecord,
    names,
    uint64,
    st.sampled_from(MemberStatus),
    names,
    names,
    st.integers(0, 65535),
    st.booleans(),
)


@settings(derandomize=True)
@given(
    st.builds(
        Datagram,
        st.sampled_from(DatagramKind),
        names,
        uint64,
        st.integers(0, 2**32 - 1),
        names,
        uint64,
        st.lists(member_records, max_size=3).map(tuple),
    )
)
def test_no_field_of_a_datagram_is_lost(datagram):
    assert decode_datagram(encode_datagram(datagram)) == datagram


LARGEST_STAMP = (2**64 - 1, 2**64 - 1)


@pytest.mark.parametrize('length', [1, 8, 15, 31, 63])
def test_datagram_with_largest_records_fits_the_size_limit(length):
    def make(number):
        name = f'{number:x}' + 'v' * (length - 4)
        record = MemberRecord(
            name, 2**64 - 1, MemberStatus.LEFT, name, '2001:db8:ffff:ffff::ffff', 65535, True
        )
        return replace(record, vm=name, place=name)

    membership = create_membership(make(4096), 0)
    for number in range(4097, 4200):
        membership.members[make(number).vm] = make(number)
        queue_update(membership, make(number))
    own = membership.own
    updates = select_updates(membership, own)
    for page in (updates, *split_into_pages(membership)):
        assert page
        datagram = Datagram(
            DatagramKind.PING, own.vm, 2**64 - 1, 2**32 - 1, own.vm, 2**64 - 1, page
        )
        assert len(encode_datagram(datagram, LARGEST_STAMP)) <= 1200
