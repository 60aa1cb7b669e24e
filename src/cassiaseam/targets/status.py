"""Status that a target reports through its SQL functions."""

from pydantic import BaseModel, ConfigDict, NonNegativeFloat, NonNegativeInt

from cassiaseam.messages import TargetRole, TargetStatus
from cassiaseam.positions import LogPosition
from cassiaseam.targets.connection import ProtocolConnection, execute_sql

STATUS_SQL = 'SELECT cassiaseam_status()'
MS_PER_S = 1000

Position = tuple[NonNegativeInt, NonNegativeInt]


class StatusModel(BaseModel):
    """JSON of design section 5.2; only `cassiaseam_fence` sends `granted`."""

    model_config = ConfigDict(extra='ignore')

    instance: str
    incarnation: str
    term: NonNegativeInt
    fenced_term: NonNegativeInt
    last: Position
    applied: Position
    role: TargetRole
    follows: str = ''
    primary_contact_age_ms: NonNegativeFloat = 0
    leaving: bool = False
    granted: bool = False

    def to_status(self) -> TargetStatus:
        """Convert to the status that the reducer uses."""
        return TargetStatus(
            instance=self.instance,
            incarnation=self.incarnation,
            term=self.term,
            fenced_term=self.fenced_term,
            last=LogPosition(*self.last),
            applied=LogPosition(*self.applied),
            role=self.role,
            follows=self.follows,
            primary_contact_age_s=self.primary_contact_age_ms / MS_PER_S,
            leaving=self.leaving,
        )


async def query_status(protocol: ProtocolConnection, sql: str) -> StatusModel:
    """Run a function that returns the status.

    Raises:
        ValueError: The response is not a valid status.
        pymysql.err.Error: The target refused the call or the connection was lost.
    """
    result_set = await execute_sql(protocol, sql)
    return StatusModel.model_validate_json(result_set.rows[0][0])


async def read_applied_position(protocol: ProtocolConnection) -> LogPosition:
    """Return the position that is visible to reads on the target."""
    model = await query_status(protocol, STATUS_SQL)
    return LogPosition(*model.applied)
