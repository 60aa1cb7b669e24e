"""What the settings of all roles have in common."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

Name = Annotated[str, Field(pattern='^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$')]


class Section(BaseModel):
    """Base of all sections: unknown keys are errors and values never change."""

    model_config = ConfigDict(extra='forbid', frozen=True)
