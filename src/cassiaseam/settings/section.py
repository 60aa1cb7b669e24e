"""Base class and types shared by all settings models."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern='^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$')]


class Section(BaseModel):
    """Base class of all sections: rejects unknown keys; instances are immutable."""

    model_config = ConfigDict(extra='forbid', frozen=True)
