"""Token requests and responses in datagrams; see `pooler.datagrams`."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from cassiaseam.pooler.quotas.arithmetic import SHARES
from cassiaseam.pooler.quotas.events import (
    SendTokenRequest,
    SendTokens,
    TokensReceived,
    TokensRequested,
)

# Maximum number of tokens in one datagram; a larger one is malformed.
MAX_TOKENS = 10_000
TokenCount = Annotated[int, Field(strict=True, ge=0, le=MAX_TOKENS)]
Nonce = Annotated[int, Field(strict=True, ge=0, lt=1 << 63)]
Milliseconds = Annotated[int, Field(strict=True, ge=0, le=3_600_000)]


class TokenRequestMessage(BaseModel):
    """Request for tokens of an account."""

    model_config = ConfigDict(frozen=True)

    kind: Literal['tokens?'] = 'tokens?'
    nonce: Nonce
    share: Annotated[int, Field(strict=True, ge=0, lt=SHARES)]
    account: str
    need: TokenCount
    want: TokenCount


class TokensMessage(BaseModel):
    """Response to a token request; `held` is 0 if the VM does not hold the share."""

    model_config = ConfigDict(frozen=True)

    kind: Literal['tokens'] = 'tokens'
    nonce: Nonce
    count: TokenCount
    life_ms: Milliseconds
    retry_ms: Milliseconds = 0
    held: Annotated[int, Field(strict=True, ge=0, le=1)] = 1


def build_message(effect: SendTokenRequest | SendTokens) -> TokenRequestMessage | TokensMessage:
    """Return the message of a token request or response.

    The lifetime is rounded down, and the time of the next request up.
    """
    if isinstance(effect, SendTokenRequest):
        return TokenRequestMessage(
            nonce=effect.nonce,
            share=effect.share,
            account=effect.account,
            need=min(effect.need, MAX_TOKENS),
            want=min(effect.want, MAX_TOKENS),
        )
    return TokensMessage(
        nonce=effect.nonce,
        count=effect.count,
        life_ms=int(effect.life_s * 1000),
        retry_ms=min(int(effect.retry_s * 1000) + 1, 3_600_000) if effect.retry_s else 0,
        held=int(effect.held),
    )


def build_event(
    message: TokenRequestMessage | TokensMessage, host: str, port: int
) -> TokensRequested | TokensReceived:
    """Return the event for a message from an address."""
    if isinstance(message, TokenRequestMessage):
        return TokensRequested(
            host, port, message.nonce, message.share, message.account, message.need, message.want
        )
    return TokensReceived(
        message.nonce,
        message.count,
        message.life_ms / 1000,
        message.retry_ms / 1000,
        bool(message.held),
    )
