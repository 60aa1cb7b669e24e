from behave import given, then, when

from cassiaseam.positions import LogPosition, decode_session_token, encode_session_token


@given('a token for database "{database}" at term {term:d} offset {offset:d}')
def make_token(context, database, term, offset):
    context.database = database
    context.token = encode_session_token(database, LogPosition(term, offset))


@when('a target has applied term {term:d} offset {offset:d}')
def set_applied(context, term, offset):
    context.applied = LogPosition(term, offset)


@then('the target {verdict} serve the session')
def check_verdict(context, verdict):
    floor = decode_session_token(context.token, context.database).unwrap()
    assert context.applied.covers(floor) is (verdict == 'may')
