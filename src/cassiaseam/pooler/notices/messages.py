"""Notices in datagrams; see `pooler.datagrams`."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cassiaseam.pooler.duty import LEASE_TAKEOVER_S
from cassiaseam.pooler.notices.events import FencesLifted, PromotionNotice

Term = Annotated[int, Field(strict=True, ge=0, lt=1 << 63)]
Token = Annotated[int, Field(strict=True, ge=0, lt=1 << 63)]
# No promotion takes effect later than this after its claim.
ValidityMs = Annotated[int, Field(strict=True, ge=0, le=int(LEASE_TAKEOVER_S * 1000))]


class PromotionNoticeMessage(BaseModel):
    """Notice of a promotion that relies on fences."""

    model_config = ConfigDict(frozen=True)

    kind: Literal['promotion'] = 'promotion'
    group: str
    target: str
    term: Term
    base_term: Term
    token: Token
    valid_ms: ValidityMs


class FencesLiftedMessage(BaseModel):
    """Notice of lifted fences."""

    model_config = ConfigDict(frozen=True)

    kind: Literal['fences-lifted'] = 'fences-lifted'
    group: str
    term: Term
    token: Token


NoticeMessage = PromotionNoticeMessage | FencesLiftedMessage


def build_message(notice: PromotionNotice | FencesLifted) -> NoticeMessage:
    """Return the message of a notice; the validity is rounded up."""
    if isinstance(notice, FencesLifted):
        return FencesLiftedMessage(
            group=notice.group, term=notice.term, token=notice.fencing_token
        )
    return PromotionNoticeMessage(
        group=notice.group,
        target=notice.target,
        term=notice.term,
        base_term=notice.base_term,
        token=notice.fencing_token,
        valid_ms=min(int(notice.valid_s * 1000) + 1, int(LEASE_TAKEOVER_S * 1000)),
    )


def build_event(message: NoticeMessage) -> PromotionNotice | FencesLifted:
    """Return the event for a message."""
    if isinstance(message, FencesLiftedMessage):
        return FencesLifted(message.group, message.term, message.token)
    return PromotionNotice(
        message.group,
        message.target,
        message.term,
        message.base_term,
        message.token,
        message.valid_ms / 1000,
    )
