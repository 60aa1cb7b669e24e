"""Terms and primaries in the platform objects `groups/<database>`."""

import asyncio

from absl import logging
from pydantic import BaseModel, NonNegativeInt, ValidationError
from result import Err, Ok, Result

from cassiaseam.errors import ErrorKind, RequestError
from cassiaseam.objectstore.client import PlatformClient
from cassiaseam.reducer.target_io import (
    ClaimTerm,
    RecordPrimary,
    TermClaim,
    TermClaimAnswered,
)

_RECORD_ATTEMPTS = 3


class GroupDocument(BaseModel):
    """Value of `groups/<database>`.

    Attributes:
        term: Highest claimed term.
        promoter: VM that claimed it.
        primary: Primary of that term; '' until the promotion has succeeded.
    """

    term: NonNegativeInt = 0
    promoter: str = ''
    primary: str = ''


def make_group_key(database: str) -> str:
    """Return the object key of a database group."""
    return f'groups/{database}'


async def read_group(
    client: PlatformClient, database: str
) -> Result[tuple[GroupDocument, int], RequestError]:
    """Read the document of a group and the version of its object."""
    found = await client.read_object(make_group_key(database))
    if found.is_err():
        return found
    stored = found.unwrap()
    if stored is None:
        return Ok((GroupDocument(), 0))
    try:
        return Ok((GroupDocument.model_validate(stored.value), stored.version))
    except ValidationError as error:
        message = f'{make_group_key(database)}: {error.errors()[0]}'
        return Err(RequestError(ErrorKind.INTERNAL, message))


async def claim_term(client: PlatformClient, claim: ClaimTerm) -> TermClaimAnswered:
    """Claim a term; UNAVAILABLE if the outcome is not known within the timeout."""
    try:
        async with asyncio.timeout(claim.timeout_s):
            return await claim_without_timeout(client, claim)
    except TimeoutError:
        return TermClaimAnswered(claim.database, claim.term, TermClaim.UNAVAILABLE)


async def claim_without_timeout(client: PlatformClient, claim: ClaimTerm) -> TermClaimAnswered:
    """Claim a term by one conditional write, without a timeout."""
    found = await read_group(client, claim.database)
    if found.is_err():
        return TermClaimAnswered(claim.database, claim.term, TermClaim.UNAVAILABLE)
    group, version = found.unwrap()
    if group.term >= claim.term:
        return make_claim_outcome(claim, group)
    wanted = GroupDocument(term=claim.term, promoter=claim.promoter)
    key = make_group_key(claim.database)
    written = await client.write_object(key, wanted.model_dump(), version)
    if written.is_ok():
        return make_claim_outcome(claim, wanted)
    if written.unwrap_err().kind is not ErrorKind.VERSION_CONFLICT:
        return TermClaimAnswered(claim.database, claim.term, TermClaim.UNAVAILABLE)
    again = await read_group(client, claim.database)
    recorded = again.unwrap()[0] if again.is_ok() else GroupDocument()
    return make_claim_outcome(claim, recorded)


def make_claim_outcome(claim: ClaimTerm, group: GroupDocument) -> TermClaimAnswered:
    """Return the outcome of a claim, given the recorded document."""
    is_own = (group.term, group.promoter) == (claim.term, claim.promoter)
    outcome = TermClaim.CLAIMED if is_own else TermClaim.CONFLICT
    return TermClaimAnswered(claim.database, claim.term, outcome, group.term, group.promoter)


async def record_primary(client: PlatformClient, record: RecordPrimary, vm: str) -> bool:
    """Record the primary of a term unless a higher term is recorded.

    Args:
        client: Client of the platform.
        record: Primary and its term.
        vm: VM that promoted it; recorded as promoter if the term was not claimed.

    Returns:
        Whether the primary is recorded.
    """
    for _ in range(_RECORD_ATTEMPTS):
        found = await read_group(client, record.database)
        if found.is_err():
            break
        group, version = found.unwrap()
        if group.term > record.term:
            return False
        promoter = group.promoter if group.term == record.term else vm
        wanted = GroupDocument(term=record.term, promoter=promoter, primary=record.primary)
        if wanted == group:
            return True
        key = make_group_key(record.database)
        written = await client.write_object(key, wanted.model_dump(), version)
        if written.is_ok():
            return True
    logging.warning('event=primary_not_recorded database=%s', record.database)
    return False
