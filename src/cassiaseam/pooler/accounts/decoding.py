"""Validation of the client accounts in the configuration.

Error texts are logged. They name accounts and places in the document, but never contain what the
document holds at such a place, because that may be a key.
"""

from typing import Any

from result import Err, Ok, Result

from cassiaseam.pooler.accounts.directory import Account, AccountDirectory
from cassiaseam.pooler.accounts.keys import digest_key


def build_directory(documents: list[Any]) -> Result[AccountDirectory, str]:
    """Return the accounts of a list of `AccountDocument`, or the reason why it is invalid."""
    directory = AccountDirectory()
    for index, document in enumerate(documents):
        problem = _add_account(directory, document)
        if problem:
            return Err(f'configuration: account {index + 1} of tenants: {problem}')
    if any(digest_key(name.encode()) in directory.names_by_key for name in directory.accounts):
        return Err('configuration: the name of an account is a key')
    return Ok(directory)


def _add_account(directory: AccountDirectory, document: Any) -> str:
    if not is_single_word(document.name):
        return 'the name is not a single word'
    if document.name in directory.accounts:
        return 'the name occurs twice'
    directory.accounts[document.name] = Account(
        document.name, document.priority, document.operations_per_s, document.burst
    )
    for key in document.keys:
        encoded = encode_text(key)
        if encoded is None:
            return 'a key is not valid text'
        owner = directory.names_by_key.setdefault(digest_key(encoded), document.name)
        if owner != document.name:
            return 'a key belongs to an earlier account too'
    return ''


def encode_text(text: str) -> bytes | None:
    """Return a text as it is sent, or None if it cannot be encoded."""
    try:
        return text.encode()
    except UnicodeEncodeError:
        return None


def is_single_word(name: str) -> bool:
    """Return whether a name can be sent to a target as one field of a line."""
    return encode_text(name) is not None and name.isprintable() and ' ' not in name
